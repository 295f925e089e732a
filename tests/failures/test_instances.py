"""Instances as processes over the model of the platform, on loopback."""

import asyncio
import signal

import pytest

from firhook.instance import Instance
from firhook.platform.connections import HttpConnections
from firhook.platform.instance import load_instance_settings, open_sessions
from standins.model import KEY, HttpModel, Processes, ReservedPorts, until


def test_jobs_survive_the_lead_being_killed(tmp_path):
    """The lead of the cell is killed while jobs are running.

    Another instance takes over.  Every accepted job completes, and no task runs
    twice.
    """

    async def scenario():
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

    asyncio.run(scenario())


@pytest.mark.row(2)
@pytest.mark.proof
def test_lead_paused_past_its_proof_starts_nothing_when_it_resumes(tmp_path):
    """The process of the lead is paused while jobs are running, and resumes.

    Its proof of leadership has expired, and another instance has taken over.  Orders
    of the old lead must not run a task a second time, and every job must complete.
    """

    async def scenario():
        async with Processes(tmp_path, 3) as fleet:
            fleet.model.work_s = 2.0
            jobs = [f"{i:016x}" for i in range(12)]
            for job in jobs[:8]:
                await fleet.submit(job)
            lead = next(p for p in fleet.all if p.leads())

            async def has_ended():
                return any(line["event"] == "lead.ended" for line in lead.lines)

            await pause_until_replaced(fleet, lead, jobs[8:])
            await until(lambda: fleet.completed(jobs))
            await until(has_ended)
            assert fleet.model.checks.violations == []

    async def pause_until_replaced(fleet, lead, jobs):
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

    asyncio.run(scenario())


def test_stopped_instance_finishes_its_requests_and_exits_with_0(tmp_path):
    """An instance is stopped while callers are connected to it.

    It must first fail its readiness check, so that the load balancer removes it,
    and keep serving meanwhile.  No connection may be cut.
    """

    async def scenario():
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

    asyncio.run(scenario())


def test_persistent_connection_is_served_while_the_instance_stops(tmp_path):
    """An instance is stopped while a caller has an idle persistent connection.

    The caller sends its next request on that connection after the load balancer
    has removed the instance.  If the connection were closed at that moment, the
    caller could not know whether the request took effect.
    """

    async def scenario():
        async with Processes(tmp_path, 2) as fleet:
            process = fleet.all[0]
            await fleet.submit("00000000000000aa")
            # The session also keeps the connection of the readiness check; this
            # opens the one on the callers' port.
            path = "/plan/00000000000000aa"
            assert (await fleet.call(process, "GET", path))[0] == 200
            process.signal(signal.SIGTERM)
            await asyncio.sleep(3.2)
            url = f"http://127.0.0.1:{process.ports[0]}{path}"
            async with fleet.session.delete(url, headers=KEY) as resp:
                assert (resp.status, resp.headers["Connection"]) == (200, "close")
            assert await asyncio.wait_for(process.process.wait(), 6.0) == 0

    asyncio.run(scenario())


def test_caller_that_connects_as_the_sockets_close_is_served(tmp_path):
    """A caller connects just before an instance closes its sockets, and then sends.

    The connection must not be closed as idle: if it were closed during the request,
    the caller could not know whether the job was accepted.
    """

    async def scenario():
        model, reserved = HttpModel(), ReservedPorts()
        await model.start()
        ports = reserved.take(3)
        settings = load_instance_settings(model.settings(tmp_path, "i0", ports))
        async with open_sessions() as sessions:
            instance = Instance(settings, HttpConnections(settings, sessions))
            await instance.start()
            try:
                reader, writer = await connected(ports[0])
                instance.stopping = True
                closing = asyncio.create_task(instance.services["callers"].on_stop())
                await asyncio.sleep(0.1)
                writer.write(b"GET /plan/00000000000000aa HTTP/1.1\r\nHost: x\r\n\r\n")
                response = await asyncio.wait_for(reader.read(), 3.0)
                writer.close()
                await closing
            finally:
                await instance.stop()
        reserved.close()
        await model.stop()
        return response

    async def connected(port):
        for _ in range(100):
            try:
                return await asyncio.open_connection("127.0.0.1", port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.05)
        raise AssertionError("the instance does not listen")

    response = asyncio.run(scenario())
    assert response.startswith(b"HTTP/1.1 ")
    assert b"Connection: close" in response


def test_instance_keeps_serving_while_its_logs_are_not_read(tmp_path):
    """The log collector stalls, and the pipe to it fills up.

    A blocking write of a log line would stall the whole instance: callers would
    receive no responses, and no log would show the reason.
    """

    async def scenario():
        async with Processes(tmp_path, 2) as fleet:
            process = fleet.all[0]
            process.stop_reading()
            # Each refusal logs a line of about 550 bytes, of which 400 a second
            # are written.  After three seconds that exceeds the buffers of the
            # pipe, its reader and the instance together.
            path = "/plan/" + "x" * 300
            began = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() - began < 4.0:
                assert (await fleet.call(process, "GET", path))[0] == 404
            await fleet.submit("00000000000000aa")
            await until(lambda: fleet.completed(["00000000000000aa"]))

            process.resume_reading()

            async def reported():
                lines = [x for x in process.lines if x["event"] == "log.left_out"]
                return any("unread" in line["lines"] for line in lines)

            await until(reported, 10.0)

    asyncio.run(scenario())


def test_bad_requests_are_refused_at_once_with_a_reason(tmp_path):
    async def scenario():
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

    asyncio.run(scenario())


def test_caller_who_connects_while_an_instance_is_starting_is_answered(tmp_path):
    """Callers connect while a process is still importing its modules.

    After a power loss callers return before the instances do.  A refused connection
    would use up one of a caller's few attempts.  A process that is stopped while
    starting must not cut the connection either.
    """

    async def scenario():
        async with Processes(tmp_path, 1) as fleet:
            process = fleet.all[0]
            for stopped in (False, True):
                await process.end()
                process.lines.clear()
                await process.start()
                request = asyncio.create_task(request_early(process))
                await asyncio.wait_for(connected.wait(), 20)
                connected.clear()
                assert not any(x["event"] == "instance.started" for x in process.lines)
                if stopped:
                    process.signal(signal.SIGTERM)
                status = (await asyncio.wait_for(request, 20)).split()[1]
                assert status in (b"200", b"404", b"410", b"503")
                if stopped:
                    assert await asyncio.wait_for(process.process.wait(), 20) == 0
                else:
                    assert status == b"410"

    connected = asyncio.Event()

    async def request_early(process):
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
        response = await reader.read()
        writer.close()
        return response

    asyncio.run(scenario())
