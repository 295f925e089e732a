"""The lead's connection to one worker."""

import asyncio

from tests.services.scenarios import run_scenario, step


def test_link_that_is_cancelled_as_its_ends_are_stored_ends():
    """A lead is told to stop in the very moment in which the ends of runs were stored.

    The link has been told so, and has not gone on yet.  If it lost the cancelling
    over that, it would look at its worker for ever, and the instance would not come
    to rest until the platform kills it.
    """

    async def scenario(cell):
        lead = cell.lead().lead
        links = lead.term.links
        stopping = []

        def stored(link, number, set_ack):
            set_ack(number)
            if not stopping:
                stopping.append(asyncio.create_task(lead.drain()))

        await cell.until(lambda: len(links) == len(cell.workers), 5.0)
        for link in links.values():
            link.set_ack = lambda n, link=link, act=link.set_ack: stored(link, n, act)
        await cell.submit([step(1)], work_s=0.5)
        await cell.until(lambda: stopping, 5.0)
        await cell.until(stopping[0].done, 5.0)

    run_scenario(scenario)
