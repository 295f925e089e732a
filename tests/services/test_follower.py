"""Following the cell's topic."""

import asyncio

import pytest

from firhook.services._follower import Follower, _Reader


@pytest.mark.parametrize("steps", range(5))
def test_cancellation_that_coincides_with_a_gap_is_not_lost(steps):
    """A lost cancellation keeps a stopping instance reading until its loop closes."""

    async def scenario():
        reader = _Reader(0, 0.5)
        waiting = asyncio.create_task(Follower._wait_for_next_read(reader))
        await asyncio.sleep(0.01)
        reader.mark_applied(7, 1)
        for _ in range(steps):
            await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.wait({waiting})
        assert waiting.cancelled()

    asyncio.run(scenario())
