"""Withdrawn keys stay withdrawn, and accepted lists stay in force."""

import asyncio

import pytest

from standins.cluster import OPERATOR_KEY, Cluster, Proc
from tests.failures.cells import PLANS, TEAMS, cell, run_scenario


@pytest.mark.row(3)
def test_key_withdrawn_elsewhere_is_refused_at_an_instance_without_the_log():
    """A zone cannot reach the platform when a leaked key is withdrawn.

    The zone must refuse the key as well: its instances learn of the withdrawal
    from their peers.
    """

    async def scenario():
        async with cell(("lisboa", "porto"), entries=1, runners=1, links=True) as c:
            cut_entry = c.running_entries("porto")[0]
            c.cluster.cut_zone("porto", platform_only=True)
            await c.operator_call("DELETE", f"/v1/keys/{c.key_id}")
            await c.wait_for_status(cut_entry, "GET", "/r/logbook/quote", c.key, 401)

    run_scenario(scenario)


@pytest.mark.row(3)
@pytest.mark.proof
def test_zone_cut_from_everything_takes_no_new_charges():
    """A zone reaches neither the platform nor any other zone.

    It cannot learn of withdrawn keys.  It serves quotes for a limited time, accepts
    neither charges nor jobs, and finally refuses all requests.
    """

    async def scenario():
        async with cell(("lisboa", "porto"), entries=1, runners=1, links=True) as c:
            cut_entry = c.running_entries("porto")[0]
            c.cluster.cut_zone("porto")
            await asyncio.sleep(4.0)
            status, data = await c.request(cut_entry, "POST", "/r/logbook/e", data="x")
            assert (status, data["code"], data["ran"]) == (503, "zone.stale", "no")
            status, data = await c.request(
                cut_entry, "POST", "/v1/jobs", json={"job_id": "j"}
            )
            assert (status, data["ran"]) == (503, "no")
            status, _ = await c.request(cut_entry, "GET", "/r/logbook/quote")
            assert status == 200
            await c.wait_for_status(cut_entry, "GET", "/r/logbook/quote", c.key, 503)
            c.cluster.heal_zone("porto")
            await c.wait_for_status(cut_entry, "GET", "/r/logbook/quote", c.key, 200)
            assert "x" not in await c.run_counts()

    run_scenario(scenario)


async def version_of(cluster: Cluster, entry: Proc) -> int:
    """Return the configuration version that is in force at an instance."""
    return (await cluster.call(entry, "GET", "/v1/config"))[1]["version"]


@pytest.mark.row(10)
def test_one_of_two_concurrent_changes_wins_and_the_other_gets_a_conflict():
    """Two operators change the lists concurrently at two instances."""

    async def scenario():
        async with cell(entries=2) as c:
            body = {
                "base": 1,
                "rows": [
                    {"list_name": "teams", "name": "faro", "values": {"plan": "small"}}
                ],
            }
            responses = await asyncio.gather(
                *(c.cluster.call(e, "POST", "/v1/config", json=body) for e in c.entries)
            )
            assert sorted(status for status, _ in responses) == [200, 409]
            conflict = next(data for status, data in responses if status == 409)
            assert conflict["code"] == "config.conflict"
            assert conflict["changed"] == ["teams/faro"]

            async def in_force(entry: Proc) -> bool:
                return await version_of(c.cluster, entry) == 2

            for entry in c.entries:
                await c.cluster.wait_until(entry, in_force)

    run_scenario(scenario)


@pytest.mark.row(10)
@pytest.mark.proof
def test_accepted_lists_stay_in_force_through_restarts_and_expired_records():
    """The lists change while records expire, and an instance is killed.

    A new instance must not start from old records: it would restore a limit that
    an operator has lowered.
    """

    async def scenario():
        async with cell(entries=3, platform={"carry_forward_records": 20}) as c:
            version, floor = 1, dict.fromkeys((e.name for e in c.entries), 0)

            async def watch() -> None:
                while True:
                    for entry in [e for e in c.entries if e.process.returncode is None]:
                        status, data = await c.request(
                            entry, "GET", "/v1/config", key=OPERATOR_KEY
                        )
                        if status == 200:
                            assert data["version"] >= floor[entry.name]
                            floor[entry.name] = data["version"]
                    await asyncio.sleep(0.05)

            watching = asyncio.create_task(watch())
            for n in range(120):
                plans = PLANS.format(limit=41 + n)
                body = {"base": version, "plans": plans, "teams": TEAMS}
                version = (await c.operator_call("POST", "/v1/config", body))["version"]
                if n == 60:
                    await c.set_log_faults(retain=60)
                    c.entries[2].kill()
                    await c.entries[2].wait()
            fresh = await c.cluster.add_entry("porto-entry-9", "porto")

            async def in_force(entry: Proc) -> bool:
                return await version_of(c.cluster, entry) == version

            await c.cluster.wait_until(fresh, in_force, 30.0)
            await c.cluster.wait_until(c.entries[1], in_force, 30.0)
            watching.cancel()
            with pytest.raises(asyncio.CancelledError):
                await watching

    run_scenario(scenario)


@pytest.mark.row(10)
@pytest.mark.proof
def test_instance_that_starts_while_the_log_is_down_serves_from_its_peers():
    """An instance starts while the platform's log is down.

    It must serve callers with the lists and keys in force.
    """

    async def scenario():
        # Long enough that the zone is not considered stale, which other tests
        # cover.
        stale = {"key_stale_s": 60, "key_stale_max_s": 900}
        async with cell(entries=2, runners=1, keys=stale) as c:
            await c.set_log_faults(log="down")
            fresh = await c.cluster.add_entry("porto-entry-9", "porto")
            await c.wait_for_status(fresh, "GET", "/r/logbook/quote", c.key, 200)
            assert await version_of(c.cluster, fresh) == 1
            await c.set_log_faults(log="ok")

    run_scenario(scenario)
