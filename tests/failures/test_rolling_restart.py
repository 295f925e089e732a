"""Rolling restarts of all instances under load."""

import asyncio
import itertools
from collections import Counter

import aiohttp
import pytest

from tests.failures.cells import cell


class Clients:
    """Callers behind a load balancer that removes an instance on a refused connection.

    Each posts entries one after another and checks that it receives the complete
    response to its own request.  No library repeats a POST, so that a connection
    closed during a request is detected.
    """

    def __init__(self, key: str, entries: list) -> None:
        self.key = key
        self.entries = entries
        self.outcomes: Counter[str] = Counter()
        self.stopping = False
        self._numbers = itertools.count()

    async def run(self, count: int) -> None:
        """Run callers until ``stopping`` is set."""
        async with asyncio.TaskGroup() as group:
            for i in range(count):
                group.create_task(self._caller(i))

    async def _caller(self, number: int) -> None:
        async with aiohttp.ClientSession() as http:
            while not self.stopping:
                number += 1
                entry = self.entries[number % len(self.entries)]
                self.outcomes[await self._post(http, entry)] += 1

    async def _post(self, http: aiohttp.ClientSession, entry) -> str:
        n = str(next(self._numbers))
        # One in eight takes longer than a web server waits for its handlers when
        # it is closed without a drain.
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
    """Replace every instance ``rounds`` times under load; return the outcomes."""
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
    """Check that every request was served, not connected or refused as not run."""
    for outcome in outcomes:
        expected = outcome in ("whole", "not connected")
        assert expected or outcome.startswith("refused as not run"), outcomes
    assert outcomes["whole"] > 50, outcomes


@pytest.mark.row(9)
def test_persistent_connection_is_served_while_the_instance_stops():
    """An instance is stopped while a caller has an idle persistent connection.

    The caller sends its next entry on that connection.  If the connection were
    closed at that moment, the caller could not know whether the entry is recorded.
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
    """Both instances are replaced in turn while callers post entries through them.

    If a request were cut, its caller could not know whether the entry is recorded.
    """
    outcomes = asyncio.run(restart_each(1, ("porto",), 8))
    print(dict(outcomes))
    assert_nothing_cut(outcomes)


@pytest.mark.row(9)
@pytest.mark.proof
def test_rolling_restarts_of_two_zones_cut_no_request():
    """Four instances in two zones are replaced in turn, three times."""
    outcomes = asyncio.run(restart_each(3, ("porto", "lisboa"), 24))
    print(dict(outcomes))
    assert_nothing_cut(outcomes)
