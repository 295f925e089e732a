"""Where something listens."""

import attrs


@attrs.frozen(slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return it as ``host:port``."""
        return f"{self.host}:{self.port}"
