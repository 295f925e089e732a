"""The lead's connection to one worker."""

import asyncio

from tests.services.scenarios import run_scenario, step


def test_link_that_is_cancelled_while_its_ends_are_stored_stops():
    """A link must not lose a cancellation that coincides with another event.

    A lead is stopped just as the ends of runs were stored: the link's event is set,
    but the link has not resumed yet.  If it lost the cancellation, it would poll its
    worker forever, and the instance would not stop until the platform kills it.
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
