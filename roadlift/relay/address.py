"""Name where an endpoint, a store or another instance listens."""

from ipaddress import IPv4Address
from typing import NamedTuple


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ValueError if it is malformed."""
        host, _, port = text.rpartition(":")
        if not (port.isascii() and port.isdigit()):
            raise ValueError(f"{text!r}: the port is not a number")
        return cls(str(IPv4Address(host)), int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
