"""Real processes over the model of the platform, on loopback."""

import asyncio
import signal

import pytest

from firhook.instance import Instance
from firhook.platform.connections import HttpConnections
from firhook.platform.instance import load_instance_settings, new_session
from standins.model import KEY, HttpModel, Processes, ReservedPorts, until


def test_jobs_survive_the_lead_being_killed(tmp_path):
    """The instance that leads the cell dies in the middle of its work.

    Another one takes the lead.  A user sees every accepted job end, and no task
    runs twice.
    """

    async def play():
        async with Processes(tmp_path, 3) as fleet:
            jobs = [f"{i:016x}" for i in range(12)]
            for job in jobs[:8]:
                await fleet.submit(job)
            lead = next(p for p in fleet.all if p.leads())
            lead.signal(signal.SIGKILL)
            await lead.process.wait()
            for job in jobs[8:]:
                await fleet.submit(job)

            await until(lambda: fleet.completed(jobs))
            assert fleet.model.checks.violations == []

    asyncio.run(play())


@pytest.mark.row(2)
@pytest.mark.proof
def test_lead_paused_past_its_proof_starts_nothing_when_it_resumes(tmp_path):
    """The machine of the lead stands still in the middle of its work, and resumes.

    By then another instance leads.  What the old lead still believes and sends must
    not run a task a second time, and no job may be missing.
    """

    async def play():
        async with Processes(tmp_path, 3) as fleet:
            fleet.model.work_s = 2.0
            jobs = [f"{i:016x}" for i in range(12)]
            for job in jobs[:8]:
                await fleet.submit(job)
            lead = next(p for p in fleet.all if p.leads())
            await stop_for_a_while(fleet, lead, jobs[8:])
            await until(lambda: fleet.completed(jobs))
            assert any(line["event"] == "lead.ended" for line in lead.lines)
            assert fleet.model.checks.violations == []

    async def stop_for_a_while(fleet, lead, jobs):
        fleet.all.remove(lead)
        lead.signal(signal.SIGSTOP)
        try:

            async def replaced():
                return any(p.leads() for p in fleet.all)

            await until(replaced)
            for job in jobs:
                await fleet.submit(job)
            await asyncio.sleep(4.0)
        finally:
            lead.signal(signal.SIGCONT)
            fleet.all.append(lead)

    asyncio.run(play())


def test_a_stopped_instance_finishes_what_it_was_asked_and_ends_with_0(tmp_path):
    """An instance is told to stop while callers are connected to it.

    It must leave the balancer's rotation first and go on serving meanwhile; a
    user must not see a connection cut.
    """

    async def play():
        async with Processes(tmp_path, 2) as fleet:
            process = fleet.all[0]
            await fleet.submit("00000000000000aa")
            process.signal(signal.SIGTERM)

            async def not_ready():
                return not await fleet.is_ready(process)

            await until(not_ready, 3.0)
            status, _ = await fleet.call(process, "GET", "/plan/00000000000000aa")
            assert status == 200
            assert await asyncio.wait_for(process.process.wait(), 6.0) == 0
            events = {line["event"] for line in process.lines}
            assert {"instance.draining", "instance.stopped"} <= events

    asyncio.run(play())


def test_kept_connection_is_served_until_its_caller_lets_go_of_it(tmp_path):
    """A caller keeps its connection open, and the instance is told to stop.

    The caller cannot know; its next request goes out on that connection when
    the instance has left the balancer's rotation.  Were the connection closed in
    the same moment, the user could not tell whether the job was accepted.
    """

    async def play():
        async with Processes(tmp_path, 2) as fleet:
            process = fleet.all[0]
            await fleet.submit("00000000000000aa")
            # The session keeps the connection on which readiness was asked as
            # well; this one is the callers'.
            path = "/plan/00000000000000aa"
            assert (await fleet.call(process, "GET", path))[0] == 200
            process.signal(signal.SIGTERM)
            await asyncio.sleep(3.2)
            url = f"http://127.0.0.1:{process.ports[0]}{path}"
            async with fleet.session.delete(url, headers=KEY) as resp:
                assert (resp.status, resp.headers["Connection"]) == (200, "close")
            assert await asyncio.wait_for(process.process.wait(), 6.0) == 0

    asyncio.run(play())


def test_caller_that_connected_as_the_sockets_close_is_served(tmp_path):
    """A caller connects when an instance is about to close, and then sends.

    Its connection looked like one that nobody uses and was closed under the
    request; the user could not tell whether the job was accepted.
    """

    async def play():
        model, reserved = HttpModel(), ReservedPorts()
        await model.start()
        ports = reserved.take(3)
        settings = load_instance_settings(model.settings(tmp_path, "i0", ports))
        async with new_session() as session:
            instance = Instance(settings, HttpConnections(settings, session))
            await instance.start()
            try:
                reader, writer = await connected(ports[0])
                instance.stopping = True
                closing = asyncio.create_task(instance.services["callers"].on_stop())
                await asyncio.sleep(0.1)
                writer.write(b"GET /plan/00000000000000aa HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await asyncio.wait_for(reader.read(), 3.0)
                writer.close()
                await closing
            finally:
                await instance.stop()
        reserved.close()
        await model.stop()
        return answer

    async def connected(port):
        for _ in range(100):
            try:
                return await asyncio.open_connection("127.0.0.1", port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.05)
        raise AssertionError("nobody listens")

    answer = asyncio.run(play())
    assert answer.startswith(b"HTTP/1.1 ")
    assert b"Connection: close" in answer


def test_instance_whose_logs_nobody_reads_goes_on_serving(tmp_path):
    """Whoever collects the logs stalls, and the pipe to it fills up.

    A line that blocks would hold up the whole instance: callers would get no
    answer any more, and no log would tell why.
    """

    async def play():
        async with Processes(tmp_path, 2) as fleet:
            process = fleet.all[0]
            process.stop_reading()
            # Each of these is refused with a line of some 550 bytes, of which 400
            # a second are written.  For three seconds at least that is more than
            # the pipe, its reader and the instance hold together.
            path = "/plan/" + "x" * 300
            began = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() - began < 4.0:
                assert (await fleet.call(process, "GET", path))[0] == 404
            await fleet.submit("00000000000000aa")
            await until(lambda: fleet.completed(["00000000000000aa"]))

            process.resume_reading()

            async def told():
                lines = [x for x in process.lines if x["event"] == "log.left_out"]
                return any("unread" in line["lines"] for line in lines)

            await until(told, 10.0)

    asyncio.run(play())


def test_bad_requests_are_refused_at_once_with_a_reason(tmp_path):
    async def play():
        async with Processes(tmp_path, 1) as fleet:
            process = fleet.all[0]
            job = "/plan/00000000000000ab"
            cases = {
                ("POST", "/nowhere/00000000000000ab", b"{}"): 404,
                ("POST", "/plan/short", b"{}"): 404,
                ("POST", job, b"not json"): 400,
                ("POST", job, b'{"specification":"x","steps":[]}'): 400,
                ("POST", job, b'{"specification":"x","steps":[{"count":-1}]}'): 400,
                ("POST", job, b"x" * 300000): 413,
                ("GET", job, None): 410,
                ("DELETE", job, None): 410,
                ("PATCH", job, None): 400,
            }
            for (method, path, body), expected in cases.items():
                status, _ = await fleet.call(process, method, path, body)
                assert status == expected, (method, path)
            url = f"http://127.0.0.1:{process.ports[0]}{job}"
            wrong = {**KEY, "Authorization": "Bearer other"}
            async with fleet.session.get(url, headers=wrong) as resp:
                assert resp.status == 401
            status, body = await fleet.call(process, "GET", "/plan/")
            assert (status, body) == (200, b'{"pending":0}')

    asyncio.run(play())


def test_caller_who_connects_while_an_instance_is_starting_is_answered(tmp_path):
    """All instances lost power, and their callers come back before they do.

    Turned away while a process still imports, a caller has used up one of its few
    tries; told to stop in that very moment, the process must not cut it either.
    """

    async def play():
        async with Processes(tmp_path, 1) as cell:
            process = cell.all[0]
            for stopped in (False, True):
                await process.end()
                process.lines.clear()
                await process.start()
                asked = asyncio.create_task(ask_early(process))
                await asyncio.wait_for(connected.wait(), 20)
                connected.clear()
                assert not any(x["event"] == "instance.started" for x in process.lines)
                if stopped:
                    process.signal(signal.SIGTERM)
                status = (await asyncio.wait_for(asked, 20)).split()[1]
                assert status in (b"200", b"404", b"410", b"503")
                if stopped:
                    assert await asyncio.wait_for(process.process.wait(), 20) == 0
                else:
                    assert status == b"410"

    connected = asyncio.Event()

    async def ask_early(process):
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", process.ports[0]
                )
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.005)
        connected.set()
        lines = ["GET /plan/00000000000000ab HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in KEY.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        answer = await reader.read()
        writer.close()
        return answer

    asyncio.run(play())
