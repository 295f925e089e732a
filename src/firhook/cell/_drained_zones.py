"""The availability zones that operators have drained."""

from collections.abc import Iterable, Mapping

import attrs


@attrs.frozen(slots=True)
class ZoneDrain:
    """An operator's request that a zone get no new work.

    :param offset: offset of the operator's record.
    :param after: time on the boot clock after which the record was stored; minus
        infinity if that is not known.
    """

    offset: int
    after: float


class DrainedZones:
    """The drained zones as this instance knows them.

    The records of the operators' topic reach an instance by reads of the store and by
    copies from other instances, in any order.  Every source states the offset that it
    reflects, so that older knowledge never replaces newer knowledge.

    :ivar end: offset before which every record is reflected.
    """

    def __init__(self) -> None:
        self.end = 0
        self._drains: dict[str, ZoneDrain] = {}
        self._changed_at: dict[str, int] = {}

    def __contains__(self, zone: str) -> bool:
        return zone in self._drains

    @property
    def by_zone(self) -> Mapping[str, ZoneDrain]:
        """The drains by zone."""
        return self._drains

    def may_repeat_start(self, zone: str, now: float, drain_s: float) -> bool:
        """Return whether a start that was sent to a zone may still be sent again.

        :param drain_s: time after the operator's request in which starts may still
            arrive, in seconds.
        """
        drain = self._drains.get(zone)
        return drain is None or now < drain.after + drain_s

    def apply(self, zone: str, offset: int, is_drained: bool, after: float) -> bool:
        """Apply one record; return whether the set of drained zones changed."""
        if offset < max(self.end, self._changed_at.get(zone, 0)):
            return False
        self._changed_at[zone] = offset
        if not is_drained:
            return self._drains.pop(zone, None) is not None
        known = self._drains.get(zone)
        # A zone that is drained again keeps the earlier, stricter time.
        earliest = after if known is None else min(after, known.after)
        self._drains[zone] = ZoneDrain(offset, earliest)
        return known is None

    def advance(self, end: int) -> None:
        """Record that every record before an offset is reflected."""
        self.end = max(self.end, end)

    def replace(self, drains: Mapping[str, ZoneDrain], end: int) -> bool:
        """Apply a complete set of drains; return whether the set of zones changed.

        A zone that is not in it was returned to service by a record before ``end``.
        """
        if end < self.end:
            return False
        changed = self._remove_unlisted(drains.keys(), end)
        for zone, drain in drains.items():
            changed |= self.apply(zone, drain.offset, True, drain.after)
        self.advance(end)
        return changed

    def _remove_unlisted(self, listed: Iterable[str], end: int) -> bool:
        missing = [
            zone
            for zone in self._drains.keys() - set(listed)
            if self._changed_at[zone] < end
        ]
        for zone in missing:
            del self._drains[zone]
            self._changed_at[zone] = end
        return bool(missing)
