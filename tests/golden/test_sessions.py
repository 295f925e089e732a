"""Golden files of whole sessions.

Each is the transcript of what callers sent and got, what was appended to the
log, what instances told each other, what workers were ordered and what was
logged.  ``make golden`` writes them anew; read the difference before you
commit it, since a change of protocol shows here first.
"""

import asyncio

from tests.golden.sessions import Session, run_session

PLANS = "[small]\nshare = 1\nlimit = 40\nurgent = yes\n"
TEAMS = "[lisboa-cold]\nplan = small\n"


async def start_cell(s: Session, *entries: tuple[str, str]) -> str:
    """Start instances, apply the lists and return a team's key, unrecorded."""
    for name, zone in entries:
        # The first of each zone leads it, so that the session does not depend
        # on which of two that start at once comes first.
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
    """A caller's connection breaks and it sends its renewal charge again.

    The balancer gives the repeat to another instance; the customer is charged
    once and the caller gets the one outcome.
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
    """A technician leaves; his firm's key is withdrawn and a new one given."""

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
    """Two operators change the lists from the same version at once."""

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
    """The lead dies when its assignments are on the log and no start was sent.

    The next lead finds them there, sends the starts, and the reconciliation is
    done once.
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
    """A zone is parted from all else, a key is withdrawn, and it comes back."""

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
    """Both instances are restarted in turn while requests go on."""

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
