"""Every instance is replaced under load, one after the other."""

import asyncio
import itertools
from collections import Counter

import aiohttp
import pytest

from tests.failures.cells import cell


class Clients:
    """Callers behind a balancer that sees a stop only when a connect is refused.

    Each posts one entry after the other and checks that the answer is whole
    and its own.  Posts are not sent again by any library, so a connection that
    is closed under a request shows.
    """

    def __init__(self, key: str, entries: list) -> None:
        self.key = key
        self.entries = entries
        self.outcomes: Counter[str] = Counter()
        self.stopping = False
        self._numbers = itertools.count()

    async def run(self, count: int) -> None:
        """Run callers until told to stop."""
        async with asyncio.TaskGroup() as group:
            for i in range(count):
                group.create_task(self._caller(i))

    async def _caller(self, turn: int) -> None:
        async with aiohttp.ClientSession() as http:
            while not self.stopping:
                turn += 1
                entry = self.entries[turn % len(self.entries)]
                self.outcomes[await self._post(http, entry)] += 1

    async def _post(self, http: aiohttp.ClientSession, entry) -> str:
        n = str(next(self._numbers))
        # One in eight outlasts the time that a web server gives to handlers
        # when it is closed without having been drained.
        ms = 3500 if int(n) % 8 == 0 else 20
        url = f"http://{entry.ports['gateway']}/r/logbook/entries?ms={ms}&n={n}"
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            async with http.post(url, data=n, headers=headers) as resp:
                data = await resp.json(content_type=None)
        except aiohttp.ClientConnectorError:
            if entry in self.entries:
                self.entries.remove(entry)
            return "not connected"
        except aiohttp.ClientError as exc:
            return f"cut: {exc!r}"
        if resp.status == 200:
            return "whole" if data["echo"] == data["n"] == n else "crossed"
        if data["ran"] == "no" and "retry_after" in data:
            await asyncio.sleep(min(data["retry_after"], 0.2))
            return f"refused as not run: {data['code']}"
        return f"failed: {data['code']}"


async def restart_each(rounds: int, zones: tuple[str, ...], callers: int) -> Counter:
    """Replace every instance so many times under load; return the outcomes."""
    async with cell(zones, entries=2, runners=2) as c:
        clients = Clients(c.key, c.entries[:])
        load = asyncio.create_task(clients.run(callers))
        for _ in range(rounds):
            for i, old in enumerate(c.entries):
                old.kill(15)
                assert await old.wait() == 0
                new = await c.cluster.add_entry(old.name, old.list_entry["zone"])
                await c.cluster.wait_ready(new)
                c.entries[i] = new
                clients.entries.append(new)
        clients.stopping = True
        await load
        runs = sum((await c.run_counts()).values())
        assert runs == clients.outcomes["whole"], clients.outcomes
        return clients.outcomes


def assert_nothing_cut(outcomes: Counter) -> None:
    """Check that each answer was whole, or truly said that nothing ran."""
    for outcome in outcomes:
        fine = outcome in ("whole", "not connected")
        assert fine or outcome.startswith("refused as not run"), outcomes
    assert outcomes["whole"] > 50, outcomes


@pytest.mark.row(9)
def test_kept_connection_is_served_until_its_caller_lets_go_of_it():
    """A caller keeps its connection open between two entries, and the instance
    is stopped in between.

    The caller cannot know; its next entry goes out on that connection.  Were it
    closed in the same moment, the installer could not tell whether the entry is
    recorded.
    """

    async def scenario() -> tuple[int, str]:
        async with cell(("porto",), entries=2, runners=2) as c:
            old = c.entries[0]
            url = f"http://{old.ports['gateway']}/r/logbook/entries?ms=1&n="
            headers = {"Authorization": f"Bearer {c.key}"}
            async with aiohttp.ClientSession(headers=headers) as http:
                async with http.post(url + "1", data="1") as resp:
                    assert resp.status == 200
                old.kill(15)
                await asyncio.sleep(2.0)
                async with http.post(url + "2", data="2") as resp:
                    answered = resp.status, resp.headers.get("Connection", "")
            assert await old.wait() == 0
            return answered

    assert asyncio.run(scenario()) == (200, "close")


@pytest.mark.row(9)
def test_rolling_restart_cuts_no_request():
    """Operators replace both instances one after the other while callers post
    logbook entries through them.  An entry whose request is cut is one that its
    installer cannot tell to be recorded or not.
    """
    outcomes = asyncio.run(restart_each(1, ("porto",), 8))
    print(dict(outcomes))
    assert_nothing_cut(outcomes)


@pytest.mark.row(9)
@pytest.mark.proof
def test_rolling_restarts_of_two_zones_cut_no_request():
    """The same three times over, with four instances in two zones."""
    outcomes = asyncio.run(restart_each(3, ("porto", "lisboa"), 24))
    print(dict(outcomes))
    assert_nothing_cut(outcomes)
