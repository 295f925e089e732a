"""The lead's connection to one worker."""

import asyncio

from firhook.cell.records import STATE_PREFIX
from standins.model import pause
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

        def stored(link, ends, set_ack):
            set_ack(ends)
            if not stopping:
                stopping.append(asyncio.create_task(lead.drain()))

        await cell.until(lambda: len(links) == len(cell.workers), 5.0)
        for link in links.values():
            link.set_ack = lambda e, link=link, act=link.set_ack: stored(link, e, act)
        await cell.submit([step(1)], work_s=0.5)
        await cell.until(lambda: stopping, 5.0)
        await cell.until(stopping[0].done, 5.0)

    run_scenario(scenario)


def test_stored_ends_of_an_old_incarnation_are_not_acknowledged_to_the_new_one():
    """A restarted worker must keep the ends that nobody has read.

    The worker restarts under its name while the store does not answer the append of
    its ends.  The new incarnation numbers its ends from 1 again.  Told to forget the
    numbers of the old one, it forgets tasks that are done, and they run again.
    """

    async def scenario(cell):
        worker = cell.workers["w0"]
        for _ in range(2):
            await cell.submit([step(8)], work_s=0.3)
            await cell.all_done(5.0)
        await cell.submit([step(8)], work_s=2.0)
        await pause(1.0)
        term = cell.lead().lead.term
        cell.store.holds = lambda append: any(
            key.startswith(STATE_PREFIX) for key in append.keys
        )
        await cell.until(lambda: cell.store.held, 2.0)
        worker.restart()
        link = term.links["w0"]
        await cell.until(lambda: link.incarnation == worker.incarnation, 3.0)
        cell.store.holds = None
        await cell.all_done(20.0)
        # The ends of these follow each other faster than polls do.
        await asyncio.gather(
            *(cell.submit([step(1)], work_s=0.5 + n / 2000) for n in range(8))
        )
        await cell.all_done(20.0)

    run_scenario(scenario, instances=1, workers=1)
