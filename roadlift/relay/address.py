"""Name where an endpoint, a store or another instance listens."""

import socket
from typing import NamedTuple


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ValueError if it is malformed."""
        host, _, port = text.rpartition(":")
        socket.inet_aton(host) if host.count(".") == 3 else _reject(text)
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def _reject(text: str) -> None:
    raise ValueError(f"{text!r} is not an IPv4 address with a port")
