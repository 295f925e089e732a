"""Golden transcripts of complete sessions.

A transcript records the requests and responses of callers, the records appended to the
log, the messages between instances, the orders to workers and the log lines.  ``make
golden`` regenerates them.  Review the difference before you commit it: it shows every
change of a protocol.
"""

import asyncio

from tests.golden.sessions import Session, run_session

PLANS = "[small]\nshare = 1\nlimit = 40\nurgent = yes\n"
TEAMS = "[lisboa-cold]\nplan = small\n"


async def start_cell(s: Session, *entries: tuple[str, str]) -> str:
    """Start instances, apply the configuration and return a key of a team.

    The transcript is muted until then.
    """
    for name, zone in entries:
        # Waits until the zone has a lead, so that the first instance of each zone leads
        # it and the session does not depend on the order of simultaneous starts.
        kernel = await s.add(name, zone)
        await s.until(
            lambda k=kernel, z=zone: k.ready and bool(k.states.cell.leads[z].instance)
        )
    first = entries[0][0]
    body = {"base": 0, "plans": PLANS, "teams": TEAMS}
    status, data = await s.call(first, "POST", "/v1/config", body=body)
    assert status == 200, data
    status, data = await s.call(first, "POST", "/v1/keys", body={"team": "lisboa-cold"})
    assert status == 201, data
    await asyncio.sleep(1.0)
    s.muted = False
    return data["key"]


def test_renewal_repeated_through_two_instances(snapshot):
    """A caller loses its connection and repeats a charge at another instance.

    Both requests have the same idempotency key, so the charge runs once and both
    responses report its outcome.
    """

    async def script(s: Session) -> None:
        s.add_runner("runner-1", "porto")
        key = await start_cell(s, ("a", "porto"), ("b", "porto"))
        for name in ("a", "b"):
            headers = {"Idempotency-Key": "renewal-7"}
            await s.call(
                name, "POST", "/r/logbook/renewals", key, "installer 7", headers
            )
        assert s.runs == {"installer 7": 1}

    assert run_session(script) == snapshot


def test_withdrawn_key(snapshot):
    """A key is withdrawn at one instance; another instance then rejects it with 401."""

    async def script(s: Session) -> None:
        s.add_runner("runner-1", "porto")
        key = await start_cell(s, ("a", "porto"), ("b", "porto"))
        await s.call("b", "GET", "/r/logbook/certificates/3", key)
        key_id = next(iter(s.kernels["a"].states.config.key_ids))
        await s.call("a", "DELETE", f"/v1/keys/{key_id}")
        await asyncio.sleep(0.5)
        status, _ = await s.call("b", "GET", "/r/logbook/certificates/3", key)
        assert status == 401

    assert run_session(script) == snapshot


def test_racing_operators(snapshot):
    """Two operators change the same version concurrently; one of them gets 409."""

    async def script(s: Session) -> None:
        await start_cell(s, ("a", "porto"), ("b", "porto"))
        rows = [{"list_name": "teams", "name": "faro", "values": {"plan": "small"}}]
        body = {"base": 1, "rows": rows}
        answers = await asyncio.gather(
            s.call("a", "POST", "/v1/config", body=body),
            s.call("b", "POST", "/v1/config", body=body),
        )
        assert sorted(status for status, _ in answers) == [200, 409]
        await asyncio.sleep(0.5)

    assert run_session(script) == snapshot


def test_lead_lost_in_mid_assignment(snapshot):
    """The lead fails after it logged assignments and before it sent their starts.

    The next lead reads the assignments from the log and sends the starts, so that each
    task runs once.
    """

    async def script(s: Session) -> None:
        s.add_worker("worker-1", "porto")
        key = await start_cell(s, ("a", "porto"), ("b", "porto"))
        lead = s.kernels["a"].states.cell.leads["porto"].instance.partition("#")[0]
        other = "b" if lead == "a" else "a"
        job = {"job_id": "reconcile", "tasks": 2, "run_s": 2.0}
        await s.call(other, "POST", "/v1/jobs", key, job)
        await s.until(lambda: bool(s.kernels[other].states.zone.tasks))
        await s.kill(lead)
        zone = s.kernels[other].states.zone
        await s.until(lambda: not any(zone.live_attempts()), 120.0)
        await s.call(other, "GET", "/v1/jobs/reconcile", key)

    assert run_session(script) == snapshot


def test_zone_cut_and_healed(snapshot):
    """A key is withdrawn while a zone is isolated; the zone rejects it afterwards."""

    async def script(s: Session) -> None:
        s.add_runner("runner-1", "porto")
        s.add_runner("runner-2", "lisboa")
        key = await start_cell(s, ("a", "porto"), ("c", "lisboa"))
        s.write("zone lisboa is cut off")
        s.isolated_zones.add("lisboa")
        await s.call("c", "GET", "/r/logbook/certificates/3", key)
        key_id = next(iter(s.kernels["a"].states.config.key_ids))
        await s.call("a", "DELETE", f"/v1/keys/{key_id}")
        await asyncio.sleep(5.0)
        await s.call("c", "POST", "/r/logbook/declarations", key, "declaration 9")
        await s.call("c", "GET", "/r/logbook/certificates/3", key)
        s.write("zone lisboa is back")
        s.isolated_zones.clear()
        await asyncio.sleep(3.0)
        status, _ = await s.call("c", "GET", "/r/logbook/certificates/3", key)
        assert status == 401

    assert run_session(script) == snapshot


def test_rolling_restart(snapshot):
    """Both instances restart in turn; requests in flight complete."""

    async def script(s: Session) -> None:
        s.add_runner("runner-1", "porto")
        key = await start_cell(s, ("a", "porto"), ("b", "porto"))
        for name, peer in (("a", "b"), ("b", "a")):
            request_task = asyncio.ensure_future(
                s.call(name, "GET", f"/r/logbook/certificates/{name}", key)
            )
            await asyncio.sleep(0.05)
            await s.stop(name)
            assert (await request_task)[0] == 200
            await s.add(name, "porto")
            await s.until(lambda n=name: s.kernels[n].ready)
            await asyncio.sleep(3.0)
            status, _ = await s.call(peer, "GET", "/r/logbook/certificates/0", key)
            assert status == 200

    assert run_session(script) == snapshot
