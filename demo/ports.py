"""Choose ports for the processes of a fleet, apart from those of others."""

import contextlib
import random
import socket
from collections.abc import Iterator

PORTS = (12_000, 30_000)  # Below those that outgoing connections take.
BLOCK = 200  # Ports that a fleet has for itself.


class PortBlock:
    """Ports that no other fleet of this machine chooses while this is open.

    A port is free until its process listens, and again while that process is
    away; fleets that draw one by one took each other's then. The first port of
    a block is held in their place.
    """

    def __init__(self) -> None:
        self._guard: socket.socket | None = None
        self._left: Iterator[int] = iter(())

    def start(self) -> None:
        """Take a block that nobody has."""
        bases = list(range(*PORTS, BLOCK))
        random.SystemRandom().shuffle(bases)
        for base in bases:
            self._guard = _hold(base)
            if self._guard is not None:
                self._left = iter(range(base + 1, base + BLOCK))
                return
        raise OSError("every block of ports is taken")

    def close(self) -> None:
        """Let others have the block."""
        if self._guard is not None:
            self._guard.close()
            self._guard = None

    def choose(self) -> int:
        """Return the next port that is free now."""
        for port in self._left:
            probe = _hold(port)
            if probe is not None:
                probe.close()
                return port
        raise OSError("a block of ports is used up")


def _hold(port: int) -> socket.socket | None:
    """Bind a port, or return None where another has it."""
    held = socket.socket()
    with contextlib.suppress(OSError):
        held.bind(("127.0.0.1", port))
        return held
    held.close()
    return None
