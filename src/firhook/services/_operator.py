"""Follows what operators write: the configuration and the zones to drain."""

import asyncio
import math
from collections.abc import Sequence

from firhook._peer_messages import ConfigAsk, ConfigReply, DrainRow
from firhook.cell import ZoneDrain
from firhook.clock import boot_time
from firhook.decide.lookup_peers import choose_lookup_peers
from firhook.errors import FirhookError, PeerUnreachableError
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.bodies import (
    CONFIG_KEY,
    FieldError,
    decode_config,
    decode_drained_zone,
)
from firhook.platform.store import OPERATOR_TOPIC, StoredRecord
from firhook.services._events import (
    AskInstance,
    ConfigApplied,
    DrainedZonesChanged,
    LiveLead,
    RegisterMessageHandler,
)
from firhook.services._members import candidates
from firhook.services._topic import TopicReader

#: Time for which the store may hold a read until there is a change.  The age of the
#: configuration counts from when the read was sent, so that known keys are at most
#: two seconds old.
_POLL_TIMEOUT_S = 1.0
#: Delay between attempts while the store does not answer.
_RETRY_S = 0.15
#: A configuration older than this is requested from peers.  Normally it is read
#: about once a second.
_MAX_CONFIG_AGE_S = 1.5
_AGE_CHECK_INTERVAL_S = 0.5
_ASK_TIMEOUT_S = 0.3


@register_service("operator")
class Operator(InstanceService):
    """Keeps the configuration and the drained zones up to date."""

    def register_handlers(self) -> None:
        """Initialize without a configuration."""
        self._reader = TopicReader(self.store, OPERATOR_TOPIC, _POLL_TIMEOUT_S)
        self._raw_config = b""
        self._unknown_zones: set[str] = set()

    async def on_started(self) -> None:
        """Start to follow the topic of operators."""
        self.bus.publish(RegisterMessageHandler(ConfigAsk, self._serve_config))
        self.add_future(self._follow())
        self.add_future(self._refresh_through_peers())

    async def _serve_config(self, msg: ConfigAsk) -> ConfigReply | None:
        view = self.instance.config
        if view.config is None:
            return None
        newer = view.config.version > msg.version
        now = boot_time()
        drains = tuple(
            DrainRow(
                zone,
                drain.offset,
                now - drain.after if math.isfinite(drain.after) else None,
            )
            for zone, drain in view.drained_zones.by_zone.items()
        )
        return ConfigReply(
            now - view.read_at,
            self._raw_config if newer else b"",
            drains,
            view.drained_zones.end,
        )

    async def _refresh_through_peers(self) -> None:
        """Get the configuration from peers while the store does not answer.

        The store may refuse this instance and serve the others.  After some seconds
        keys may have been withdrawn without this instance knowing, so that it would
        have to refuse every caller until the store answers again.  A lead would
        start work in a zone that was drained meanwhile.
        """
        while not self.should_stop:
            await asyncio.sleep(_AGE_CHECK_INTERVAL_S)
            lead = await self.bus.ask(LiveLead())
            for name in choose_lookup_peers(
                self.settings.name, lead, candidates(self.replica)
            ):
                if boot_time() - self.instance.config.read_at < _MAX_CONFIG_AGE_S:
                    break
                await self._ask_peer(name)

    async def _ask_peer(self, name: str) -> None:
        view = self.instance.config
        version = view.config.version if view.config else 0
        asked_at = boot_time()
        try:
            reply = await self.bus.ask(
                AskInstance(name, ConfigAsk(version), _ASK_TIMEOUT_S)
            )
        except PeerUnreachableError as exc:
            log("config.ask_failed", level="debug", peer=name, error=exc.detail)
            return
        if not isinstance(reply, ConfigReply):
            return
        if reply.raw:
            self._apply(reply.raw)
        self._apply_copied_drains(reply, asked_at)
        # The age counts back from the peer's answer, which was sent no earlier than
        # the request.
        view.read_at = max(view.read_at, asked_at - reply.age_s)

    def _apply_copied_drains(self, reply: ConfigReply, asked_at: float) -> None:
        if not reply.drains_end:
            return
        drains = {
            row.zone: ZoneDrain(
                row.offset,
                -math.inf if row.age_s is None else asked_at - row.age_s,
            )
            for row in reply.drains
        }
        self._replace_drains(drains, reply.drains_end)

    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read()
            except FirhookError as exc:
                log("config.read_failed", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def _read(self) -> None:
        view = self.instance.config
        last_read_at = view.read_at
        records, is_complete = await self._reader.read()
        # Drains first: a new lead must not place work before it knows them.
        self._apply_drains(records, is_complete, last_read_at)
        for record in records:
            if record.key == CONFIG_KEY and record.value:
                self._apply(record.value)
        if view.config is not None:
            view.read_at = max(view.read_at, self._reader.as_of)

    def _apply_drains(
        self,
        records: Sequence[StoredRecord],
        is_complete: bool,
        last_read_at: float,
    ) -> None:
        """Apply the drains among records that were read from the store.

        :param is_complete: whether the records are the newest ones of all keys.
        :param last_read_at: the time of which everything had been read before.
        """
        rows = [(zone, r) for r in records if (zone := self._drained_zone(r))]
        end = self._reader.next_offset
        if is_complete:
            drains = {
                zone: ZoneDrain(r.offset, last_read_at)
                for zone, r in rows
                if r.value is not None
            }
            self._replace_drains(drains, end)
            return
        zones = self.instance.config.drained_zones
        changed = False
        for zone, record in rows:
            is_drained = record.value is not None
            changed |= zones.apply(zone, record.offset, is_drained, last_read_at)
        zones.advance(end)
        if changed:
            self._publish_drains()

    def _drained_zone(self, record: StoredRecord) -> str | None:
        """Return the zone that a record drains or returns to service, if any."""
        zone = decode_drained_zone(record.key)
        known = self.settings.zones
        if zone and known and zone not in known and zone not in self._unknown_zones:
            self._unknown_zones.add(zone)
            log("zone.unknown", level="warning", zone=zone[:80])
        return zone

    def _replace_drains(self, drains: dict[str, ZoneDrain], end: int) -> None:
        if self.instance.config.drained_zones.replace(drains, end):
            self._publish_drains()

    def _publish_drains(self) -> None:
        zones = self.instance.config.drained_zones
        log("zones.drained", zones=sorted(zones.by_zone), end=zones.end)
        self.bus.publish(DrainedZonesChanged())

    def _apply(self, raw: bytes) -> None:
        """Apply a configuration if it is newer than the current one.

        Whatever its source, the version never decreases within an incarnation:
        otherwise a caller that has seen the effect of a version would see it undone.
        """
        view = self.instance.config
        try:
            config = decode_config(raw)
        except FieldError as exc:
            log("config.unreadable", level="error", error=str(exc))
            return
        if view.config is not None and config.version <= view.config.version:
            return
        view.config, self._raw_config = config, raw
        log(
            "config.applied",
            version=config.version,
            queues=len(config.queues),
            teams=len(config.teams),
        )
        self.bus.publish(ConfigApplied(config))
