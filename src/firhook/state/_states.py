"""The states of all streams that one instance follows."""

from firhook.state._base import StreamState
from firhook.state._cell import CellState
from firhook.state._config import ConfigState
from firhook.state._once import OnceState
from firhook.state._zone import ZoneState


class States:
    """The states by stream.

    :param zones: all availability zones of the cell.
    :param zone: this instance's own zone, which it may lead.
    """

    def __init__(self, zones: tuple[str, ...], zone: str) -> None:
        self.config = ConfigState()
        self.cell = CellState(zones)
        self.once = OnceState()
        self.zone = ZoneState(zone)
        self.by_stream: dict[str, StreamState] = {
            "config": self.config,
            "cell": self.cell,
            "once": self.once,
            f"zone.{zone}": self.zone,
        }
