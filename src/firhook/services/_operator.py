"""Follows what operators write: the configuration and waves of maintenance."""

import asyncio

from firhook.clock import boot_time
from firhook.errors import FirhookError
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.bodies import CONFIG_KEY, FieldError, decode_config
from firhook.platform.store import OPERATOR_TOPIC
from firhook.services._events import ConfigApplied
from firhook.services._topic import TopicReader

#: How long the store may wait with its answer for a change.  A reading counts
#: from when it was sent, so that keys are known as of two seconds ago at worst.
_WAIT_S = 1.0
#: Between tries when the store does not answer.
_RETRY_S = 0.15


@register_service("operator")
class Operator(InstanceService):
    """Keeps the configuration up to date."""

    def wire(self) -> None:
        """Begin with nothing read."""
        self._topic = TopicReader(self.store, OPERATOR_TOPIC, _WAIT_S)

    async def on_started(self) -> None:
        """Begin to follow."""
        self.add_future(self._follow())

    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read()
            except FirhookError as exc:
                log("config.read_failed", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def _read(self) -> None:
        sent_at = boot_time()
        records, _ = await self._topic.read()
        for record in records:
            if record.key == CONFIG_KEY and record.value:
                self._take(record.value)
        view = self.instance.config
        if view.config is not None:
            view.read_at = max(view.read_at, sent_at)

    def _take(self, raw: bytes) -> None:
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
        view.config = config
        log(
            "config.applied",
            version=config.version,
            queues=len(config.queues),
            teams=len(config.teams),
        )
        self.bus.publish(ConfigApplied(config))
