"""The callers' HTTP interface: submits, looks up and cancels jobs."""

import asyncio
import socket
from typing import Any

from aiohttp import web

from firhook._sockets import open_listening_socket
from firhook._web import (
    DrainingSite,
    drain_and_close,
    problem_response,
    wait_connections_closed,
)
from firhook.address import Address
from firhook.cell import AcceptedJob, CellConfig, Queue
from firhook.cell.job_limits import job_size
from firhook.cell.records import (
    JOB_PREFIX,
    CancelRequest,
    cancel_key,
    encode_record,
)
from firhook.clock import boot_time, unix_time
from firhook.errors import (
    BodyTooLargeError,
    FirhookError,
    JobCancelledError,
    JobGoneError,
    JobIdTakenError,
    KeyMissingError,
    KeyRefusedError,
    LogOutcomeUnknownError,
    LogUnavailableError,
    NoRoomError,
    NotReadyError,
    OverloadedTeamError,
    QueueLateError,
    QueueUnknownError,
    RequestMalformedError,
    SubmissionUnknownError,
    ZoneStaleError,
)
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.bodies import (
    JOB_ID,
    decode_job,
    encode_pending,
    encode_status,
)
from firhook.platform.store import KeyedRecord
from firhook.services._events import (
    AppendRecord,
    IsFollowingStore,
)
from firhook.services._job_room import JobRoom
from firhook.services._load import LoadKeeper
from firhook.services._lookups import Lookups
from firhook.services._outage import OutageClock
from firhook.services._unresolved import UnresolvedSubmissions

#: Length of a job's id, which ends the path of its requests.
_ID_LENGTH = 16
#: Retry delay while no cancellation of an unknown job can be stored.
_CANCEL_RETRY_S = 3.0
#: Time limit of a request without a deadline of its own.
_DEFAULT_TIMEOUT_S = 3.0
#: An answer is sent at least this long before the caller stops waiting.
_REPLY_MARGIN_S = 0.25
#: Longest wait for the log or for peers in one request.  If the store is unavailable
#: for longer, waiting more is of no use to the caller.
_MAX_LOG_WAIT_S = 1.5
#: The instance is ready only if the configuration is younger than this fraction of
#: the time for which keys are trusted, so that callers are routed elsewhere before
#: they would be refused.
_READY_AGE_FRACTION = 0.6
#: Time for which callers still arrive after a stop was requested: the platform probes
#: readiness once a second and acts on the second failure.
_ROTATION_DELAY_S = 2.6
#: Fraction of the time between the platform's stop request and its kill after which
#: the last connections are closed.  The rest suffices to hand over the lead and to
#: close the sockets.
_DRAIN_FRACTION = 0.7
#: Time for which connections of callers wait for the first configuration at a start.
_FIRST_CONFIG_TIMEOUT_S = 0.5
_FIRST_CONFIG_POLL_S = 0.01
#: Time that callers which connected just before the close have to send a request.
_LAST_REQUEST_TIMEOUT_S = 0.3
#: Time that requests in progress have to finish at the close.
_SHUTDOWN_TIMEOUT_S = 0.3
#: Time for which an idle connection is kept open.
_KEEPALIVE_S = 75.0


@register_service("callers")
class Callers(InstanceService):
    """Serves callers, and the readiness probe of the platform."""

    def register_handlers(self) -> None:
        """Initialize without listening sockets."""
        self._runners: list[web.ServerRunner] = []
        self._open_requests = 0
        self._lookups = Lookups(self)
        self.load = LoadKeeper(self)
        self._room = JobRoom(self)
        self._unresolved = UnresolvedSubmissions(self)
        self._outage = OutageClock(self.settings.name)

    async def on_started(self) -> None:
        """Listen for the readiness probe and for callers."""
        self._lookups.register_handlers()
        self._unresolved.register_handlers()
        await self._listen(self._serve_readiness, self.settings.probe)
        self.add_future(self._serve_callers())

    async def _serve_callers(self) -> None:
        """Accept callers once there is a configuration, or after a time limit.

        The configuration arrives some 50 ms after the start.  Connections that wait
        until then are served; a refused caller would retry only a second later.
        """
        until = boot_time() + _FIRST_CONFIG_TIMEOUT_S
        while self.instance.config.config is None and boot_time() < until:
            await asyncio.sleep(_FIRST_CONFIG_POLL_S)
        await self._listen(self._handle, self.settings.callers, self.instance.listener)

    async def _listen(
        self, handler: Any, address: Address, sock: socket.socket | None = None
    ) -> None:
        server = web.Server(
            handler, access_log=None, keepalive_timeout=_KEEPALIVE_S, lingering_time=1.0
        )
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        sock = sock or open_listening_socket(address.host, address.port)
        await DrainingSite(runner, sock).start()
        self._runners.append(runner)

    async def drain(self) -> None:
        """Serve callers until the platform has taken this instance out of rotation.

        Callers with persistent connections are served until they close them.
        """
        deadline = boot_time() + self.settings.bounds.stop_grace_s * _DRAIN_FRACTION
        await asyncio.sleep(_ROTATION_DELAY_S)
        while self._open_requests and boot_time() < deadline:
            await asyncio.sleep(0.02)
        for runner in self._runners[1:]:
            await wait_connections_closed(runner, deadline - boot_time())

    async def on_stop(self) -> None:
        """Close all sockets."""
        for runner in self._runners[1:]:
            await drain_and_close(runner, _LAST_REQUEST_TIMEOUT_S)
        # The platform may keep the connections of its probe open.
        for runner in self._runners[:1]:
            await runner.cleanup()

    # Readiness probe.

    async def _serve_readiness(self, req: web.BaseRequest) -> web.Response:
        ready = await self.ready()
        return web.Response(status=200 if ready else 503)

    async def ready(self) -> bool:
        """Return whether this instance can serve callers."""
        view = self.instance.config
        if self.instance.stopping or view.config is None:
            return False
        if boot_time() - view.read_at > view.revocation_s * _READY_AGE_FRACTION:
            return False
        return await self.bus.ask(IsFollowingStore())

    # Callers.

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        self._open_requests += 1
        began = boot_time()
        submitted = req.path[-_ID_LENGTH:] if req.method == "POST" else ""
        try:
            resp = await self._dispatch(req)
        except FirhookError as failure:
            exc = self._unresolved.revise(submitted, failure) if submitted else failure
            self._outage.set_retry(exc, began)
            self._log_refusal(req, exc, began)
            resp = problem_response(exc)
        except Exception as exc:
            log("request.failed", level="error", path=req.path, error=repr(exc))
            resp = problem_response(FirhookError(repr(exc), ran="unknown"))
        except asyncio.CancelledError:
            if submitted:
                self._unresolved.note(submitted)
            raise
        finally:
            self._open_requests -= 1
        if self.instance.stopping:
            resp.force_close()
        self.meters.record_duration(
            "answer", f"{req.method} {resp.status}", boot_time() - began
        )
        return resp

    async def _dispatch(self, req: web.BaseRequest) -> web.Response:
        config = self._fresh_config()
        host = req.headers.get("Host", "").partition(":")[0]
        path = req.path
        queue = config.queue_for(host, path)
        if queue is None:
            raise QueueUnknownError(f"{host}{path[:100]}")
        team = _team_name(config, queue, req)
        job_id = path[len(queue.prefix) :]
        until = self._wait_deadline(req)
        if not job_id and req.method == "GET":
            return _json_response(
                encode_pending(await self._lookups.pending(queue, until))
            )
        if not JOB_ID.fullmatch(job_id):
            raise QueueUnknownError(f"{path[:100]}: no job id of 16 hex digits")
        if req.method == "POST":
            return await self._submit(req, config, queue, team, job_id, until)
        if req.method == "GET":
            status = await self._lookups.status(queue, team, job_id, until)
            return _json_response(encode_status(status))
        if req.method == "DELETE":
            return await self._cancel(queue, team, job_id, until)
        raise RequestMalformedError(f"{req.method}: use POST, GET or DELETE")

    def _fresh_config(self) -> CellConfig:
        view = self.instance.config
        if view.config is None:
            raise NotReadyError("the configuration was not read yet")
        if not view.is_fresh(boot_time()):
            age_s = round(boot_time() - view.read_at, 1)
            raise ZoneStaleError(f"the configuration was read {age_s} s ago")
        return view.config

    async def _submit(
        self,
        req: web.BaseRequest,
        config: CellConfig,
        queue: Queue,
        team: str,
        job_id: str,
        until: float,
    ) -> web.Response:
        if self._lookups.find_job(queue, team, job_id) is not None:
            return _json_response(b"{}")
        if self.replica.find(job_id) is not None:
            raise JobIdTakenError(job_id)
        if self._is_cancelled(queue, team, job_id):
            raise JobCancelledError(job_id)
        spec = decode_job(await _read_body(req, config.max_body_bytes))
        accepted = AcceptedJob(job_id, team, queue, unix_time(), spec, job_size(spec))
        self._room.check_size(accepted)
        value = encode_record(accepted)
        if len(value) > self.settings.store_limits.record_bytes - 256:
            raise BodyTooLargeError("the job is too large for a record")
        if not await self._check_load(accepted, until):
            return _json_response(b"{}")
        self._room.note_submitted(accepted)
        began = boot_time()
        try:
            offset = await self.bus.ask(
                AppendRecord(KeyedRecord(JOB_PREFIX + job_id, value), until)
            )
        except LogOutcomeUnknownError as exc:
            raise SubmissionUnknownError(exc.detail) from exc
        except LogUnavailableError:
            self._room.note_refused(accepted)
            raise
        finally:
            self.load.settle(job_id)
        self._outage.note_stored()
        stored = self.replica.find(job_id)
        if stored is not None and stored.is_rejected(accepted.owner):
            # The lead may have accepted this submission first; if so, that is known
            # within a moment.
            raise SubmissionUnknownError(
                "another job was submitted under this id at the same moment"
            )
        log(
            "job.accepted",
            job=job_id,
            queue=queue.name,
            team=team,
            offset=offset,
            config=config.version,
            stored_ms=round((boot_time() - began) * 1000, 1),
        )
        return _json_response(b"{}")

    async def _check_load(self, job: AcceptedJob, until: float) -> bool:
        """Return whether to append a submission; it need not be if it was before.

        A repeat may arrive before this instance knows of the first submission, which
        another one accepted.  It is refused only after a read of the log has shown that
        there is none.  If the log cannot be read, no work is refused as too late, and
        the append decides.

        :raises OverloadedTeamError: if the work of a team above its share is too late.
        :raises QueueLateError: if the work would be too late to be of value.
        :raises NoRoomError: if the accepted jobs leave no room for this one.
        :raises SubmissionUnknownError: if there is no room, and the log cannot be read.
        """
        job_id, queue, team, spec = job.id, job.queue, job.team, job.spec
        refusal = self.load.check(job_id, queue, team, spec)
        if refusal is None and self._room.has_room(job):
            return True
        is_read = await self._lookups.read_for_refusal(until)
        if self._lookups.find_job(queue, team, job_id) is not None:
            self.load.forget(job_id)
            return False
        if self.replica.find(job_id) is not None:
            self.load.forget(job_id)
            raise JobIdTakenError(job_id)
        if not self._room.has_room(job):
            self.load.forget(job_id)
            if not is_read:
                raise SubmissionUnknownError("an earlier submission may be stored")
            raise self._room.refusal_error()
        if refusal is None:
            return True
        if is_read and self.load.is_in_force(job_id, refusal):
            raise self.load.refusal_error(job_id, queue, team, refusal)
        self.load.accept(job_id, queue, team, spec)
        return True

    async def _cancel(
        self, queue: Queue, team: str, job_id: str, until: float
    ) -> web.Response:
        """Cancel a job, also if its submission may still be under way.

        The store may carry out a submission seconds after it was sent, and so may an
        instance that stood still.  A job that is not known is therefore cancelled like
        any other: the lead finds the cancellation when the submission appears.
        """
        try:
            status = await self._lookups.status(queue, team, job_id, until)
        except (JobGoneError, JobIdTakenError) as exc:
            # There is nothing to cancel yet; any other answer would make the caller
            # retry.
            if not self._is_cancelled(queue, team, job_id):
                await self._cancel_unknown(queue, team, job_id, until)
            raise JobGoneError(job_id) from exc
        except NotReadyError:
            # Whether there is such a job cannot be read now.
            await self._cancel_unknown(queue, team, job_id, until)
            return _json_response(b"{}")
        if status.ended:
            return _json_response(encode_status(status))
        record = KeyedRecord(cancel_key(job_id), b"\x01")
        offset = await self.bus.ask(AppendRecord(record, until))
        self._outage.note_stored()
        log("job.cancelled", job=job_id, offset=offset)
        # The job may still end before the cancellation takes effect.
        return _json_response(b"{}")

    def _is_cancelled(self, queue: Queue, team: str, job_id: str) -> bool:
        """Return whether a cancellation by this caller is stored for a job."""
        view = self.replica.jobs.get(job_id)
        return view is not None and view.is_cancelled_by(queue.owner(team))

    async def _cancel_unknown(
        self, queue: Queue, team: str, job_id: str, until: float
    ) -> None:
        """Store a cancellation for a job that has not appeared.

        :raises NoRoomError: if the instances hold as many of these as they can.
        """
        if not self._room.has_room_for_cancel():
            raise NoRoomError(
                "too many jobs were cancelled that have not appeared",
                retry_after_s=_CANCEL_RETRY_S,
            )
        request = CancelRequest(*queue.owner(team))
        record = KeyedRecord(cancel_key(job_id, request.owner), encode_record(request))
        offset = await self.bus.ask(AppendRecord(record, until))
        self._outage.note_stored()
        log("job.cancelled_unknown", job=job_id, offset=offset)

    def _wait_deadline(self, req: web.BaseRequest) -> float:
        """Return the time until which a request may wait for the log or for peers."""
        wait_s = _DEFAULT_TIMEOUT_S
        header = req.headers.get("Deadline-Ms", "")
        if header.isascii() and header.isdigit():
            wait_s = int(header[:9]) / 1000
        return boot_time() + min(max(wait_s - _REPLY_MARGIN_S, 0.05), _MAX_LOG_WAIT_S)

    def _log_refusal(
        self, req: web.BaseRequest, exc: FirhookError, began: float
    ) -> None:
        self.meters.count("refusals", exc.code)
        if isinstance(exc, (OverloadedTeamError, QueueLateError)):
            # Logged as submission.refused, with what decided.
            return
        version = self.instance.config.config
        log(
            "request.refused",
            method=req.method,
            path=req.path[:120],
            code=exc.code,
            status=exc.status,
            detail=exc.detail[:200],
            config=version.version if version else 0,
            config_age_s=round(began - self.instance.config.read_at, 2),
        )


async def _read_body(req: web.BaseRequest, max_bytes: int) -> bytes:
    if (req.content_length or 0) > max_bytes:
        raise BodyTooLargeError(f"{req.content_length} bytes; {max_bytes} are allowed")
    raw = bytearray()
    async for chunk in req.content.iter_any():
        raw += chunk
        if len(raw) > max_bytes:
            raise BodyTooLargeError(f"over {max_bytes} bytes")
    return bytes(raw)


def _team_name(config: CellConfig, queue: Queue, req: web.BaseRequest) -> str:
    scheme, _, key = req.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        if queue.anonymous:
            return ""
        raise KeyMissingError("no key")
    team = config.team_for(key.strip())
    if team is None:
        raise KeyRefusedError("unknown key")
    return team.name


def _json_response(body: bytes) -> web.Response:
    return web.Response(body=body, content_type="application/json")
