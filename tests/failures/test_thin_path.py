"""The whole path as separate processes."""

import asyncio

from standins.cluster import Cluster

PLANS = "[small]\nshare = 1\nlimit = 40\n"
TEAMS = "[lisboa]\nplan = small\n"


async def apply_lists(cluster: Cluster, *entries) -> str:
    """Apply the lists, give a key and return it once all entries know it."""
    body = {"base": 0, "plans": PLANS, "teams": TEAMS}
    status, data = await cluster.call(entries[0], "POST", "/v1/config", json=body)
    assert (status, data) == (200, {"version": 1})
    status, data = await cluster.call(
        entries[0], "POST", "/v1/keys", json={"team": "lisboa"}
    )
    assert status == 201

    async def knows(proc):
        return (await cluster.call(proc, "GET", "/v1/jobs", key=data["key"]))[0] == 200

    for entry in entries:
        await cluster.until(entry, knows)
    return data["key"]


def test_keyed_charge_sent_through_two_instances_runs_once():
    """A caller's connection breaks and it sends its charge again.

    The balancer gives the repeat to another instance.  The customer must be
    charged once, and the caller must learn the outcome of that one charge.
    """

    async def scenario():
        async with Cluster(("porto",)) as cluster:
            runner = await cluster.add_runner("r1", "porto", "logbook")
            a = await cluster.add_entry("a", "porto")
            b = await cluster.add_entry("b", "porto")
            await cluster.wait_ready(a, b)
            key = await apply_lists(cluster, a, b)
            kw = {"headers": {"Idempotency-Key": "k1"}, "data": "entry 1", "key": key}
            first = await cluster.call(a, "POST", "/r/logbook/entries", **kw)
            again = await cluster.call(b, "POST", "/r/logbook/entries", **kw)
            assert first == again
            assert first[0] == 200
            url = f"http://{runner.ports['http']}/admin/runs"
            async with cluster.http.get(url) as resp:
                assert (await resp.json())["runs"] == {"entry 1": 1}
            for proc in (a, b):
                proc.kill(15)
            assert [await a.wait(), await b.wait()] == [0, 0]

    asyncio.run(scenario())
