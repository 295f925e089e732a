"""Network addresses."""

import ipaddress

import attrs

_MAX_PORT = 65535


@attrs.frozen(slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an IP address and a port; an IPv6 address is in brackets.

        Every address that this returns can be called.

        :raises ValueError: if it is not such an address.
        """
        host, _, port = text.rpartition(":")
        # Python's int accepts digits of other scripts, signs and underscores.
        if not (port.isascii() and port.isdigit() and len(port) <= 5):
            raise ValueError("the port is not a number")
        if not 0 < int(port) <= _MAX_PORT:
            raise ValueError("the port is out of range")
        if host.startswith("[") and host.endswith("]") and "%" not in host:
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
        return cls(host, int(port))
