"""Follows the configuration that operators write."""

import asyncio

from firhook._peer_messages import ConfigAsk, ConfigReply
from firhook.clock import boot_time
from firhook.errors import FirhookError, PeerUnreachableError
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.bodies import CONFIG_KEY, FieldError, decode_config
from firhook.platform.store import OPERATOR_TOPIC
from firhook.services._events import (
    AskInstance,
    ConfigApplied,
    LiveLead,
    RegisterMessageHandler,
)
from firhook.services._topic import TopicReader

#: Time for which the store may hold a read until there is a change.  The age of the
#: configuration counts from when the read was sent, so that known keys are at most
#: two seconds old.
_POLL_TIMEOUT_S = 1.0
#: Delay between attempts while the store does not answer.
_RETRY_S = 0.15
#: A configuration older than this is requested from the lead.  Normally it is read
#: about once a second.
_MAX_CONFIG_AGE_S = 1.5
_AGE_CHECK_INTERVAL_S = 0.5
_ASK_TIMEOUT_S = 0.3


@register_service("operator")
class Operator(InstanceService):
    """Keeps the configuration up to date."""

    def register_handlers(self) -> None:
        """Initialize without a configuration."""
        self._reader = TopicReader(self.store, OPERATOR_TOPIC, _POLL_TIMEOUT_S)
        self._raw_config = b""

    async def on_started(self) -> None:
        """Start to follow the topic of operators."""
        self.bus.publish(RegisterMessageHandler(ConfigAsk, self._serve_config))
        self.add_future(self._follow())
        self.add_future(self._refresh_through_lead())

    async def _serve_config(self, msg: ConfigAsk) -> ConfigReply | None:
        view = self.instance.config
        if view.config is None:
            return None
        newer = view.config.version > msg.version
        age_s = boot_time() - view.read_at
        return ConfigReply(age_s, self._raw_config if newer else b"")

    async def _refresh_through_lead(self) -> None:
        """Get the configuration from the lead while the store does not answer.

        The store may refuse this instance and serve the others.  After some seconds
        keys may have been withdrawn without this instance knowing, so that it would
        have to refuse every caller until the store answers again.
        """
        while not self.should_stop:
            await asyncio.sleep(_AGE_CHECK_INTERVAL_S)
            if boot_time() - self.instance.config.read_at < _MAX_CONFIG_AGE_S:
                continue
            lead = await self.bus.ask(LiveLead())
            if lead:
                await self._ask_lead(lead)

    async def _ask_lead(self, lead: str) -> None:
        view = self.instance.config
        version = view.config.version if view.config else 0
        asked_at = boot_time()
        try:
            reply = await self.bus.ask(
                AskInstance(lead, ConfigAsk(version), _ASK_TIMEOUT_S)
            )
        except PeerUnreachableError as exc:
            log("config.ask_failed", level="debug", peer=lead, error=exc.detail)
            return
        if not isinstance(reply, ConfigReply):
            return
        if reply.raw:
            self._apply(reply.raw)
        # The age counts back from the lead's answer, which was sent no earlier than
        # the request.
        view.read_at = max(view.read_at, asked_at - reply.age_s)

    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read()
            except FirhookError as exc:
                log("config.read_failed", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def _read(self) -> None:
        sent_at = boot_time()
        records, _ = await self._reader.read()
        for record in records:
            if record.key == CONFIG_KEY and record.value:
                self._apply(record.value)
        view = self.instance.config
        if view.config is not None:
            view.read_at = max(view.read_at, sent_at)

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
