"""Follows what operators write: the configuration and waves of maintenance."""

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

#: How long the store may wait with its answer for a change.  A reading counts
#: from when it was sent, so that keys are known as of two seconds ago at worst.
_POLL_TIMEOUT_S = 1.0
#: Between tries when the store does not answer.
_RETRY_S = 0.15
#: A configuration that was read so long ago is asked for at the lead: it is read
#: about once a second.
_MAX_CONFIG_AGE_S = 1.5
_AGE_CHECK_INTERVAL_S = 0.5
_ASK_TIMEOUT_S = 0.3


@register_service("operator")
class Operator(InstanceService):
    """Keeps the configuration up to date."""

    def wire(self) -> None:
        """Begin with nothing read."""
        self._reader = TopicReader(self.store, OPERATOR_TOPIC, _POLL_TIMEOUT_S)
        self._raw_config = b""

    async def on_started(self) -> None:
        """Begin to follow."""
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
        """Read the configuration through the lead while the store answers nothing.

        Load: the store turns this instance away and serves the others.  Harm:
        after some seconds keys may have been withdrawn unseen, so that every
        caller would be refused for as long as that lasts.
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
        # The lead's reading was sent so long before it answered, which was not
        # before it was asked.
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
        """Put a configuration in force, unless it is an older one.

        A version never goes back in one life of the process, from whatever
        source: a caller who has seen the effect of a version would see it
        undone.
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
