"""How an instance follows the cell's topic."""

import asyncio

import pytest

from firhook.services._follower import Follower, _Reader


@pytest.mark.parametrize("steps", range(5))
def test_cancelling_in_the_moment_in_which_a_gap_shows_is_not_lost(steps):
    """An instance that stops went on reading, until its loop was closed under it."""

    async def scenario():
        reader = _Reader(0, 0.5)
        pausing = asyncio.create_task(Follower._wait_for_next_read(reader))
        await asyncio.sleep(0.01)
        reader.mark_applied(7, 1)
        for _ in range(steps):
            await asyncio.sleep(0)
        pausing.cancel()
        await asyncio.wait({pausing})
        assert pausing.cancelled()

    asyncio.run(scenario())
