"""Read what the machine of this process has: memory and descriptors."""

import contextlib
import resource
from pathlib import Path
from typing import NamedTuple

MEGABYTE = 1_000_000  # Bytes.
# What is assumed where nothing tells: that of a small machine.
DEFAULT_MEMORY = 200 * MEGABYTE
DEFAULT_DESCRIPTORS = 1024
_MEMORY_FILE = Path("/proc/meminfo")
_MEMORY_FIELD = "MemTotal:"
_KIBIBYTE = 1024
_MEMORY_LIMITS = (resource.RLIMIT_RSS, resource.RLIMIT_AS, resource.RLIMIT_DATA)


class Machine(NamedTuple):
    """The bytes of memory and the number of descriptors of a process."""

    memory: int
    descriptors: int


def read_machine(memory_mb: float = 0.0, max_descriptors: int = 0) -> Machine:
    """Return what this process may use: the least of all that is known.

    ``memory_mb`` and ``max_descriptors`` are what the settings say; 0 leaves
    it to the machine and the resource limits of the process.
    """
    memory = [int(memory_mb * MEGABYTE), _read_memory()]
    memory += [_read_limit(kind) for kind in _MEMORY_LIMITS]
    descriptors = [max_descriptors, _read_limit(resource.RLIMIT_NOFILE)]
    return Machine(
        min(filter(None, memory), default=DEFAULT_MEMORY),
        min(filter(None, descriptors), default=DEFAULT_DESCRIPTORS),
    )


def _read_limit(kind: int) -> int:
    """Return a resource limit of this process, or 0 if there is none."""
    with contextlib.suppress(OSError, ValueError):
        soft, _ = resource.getrlimit(kind)
        return 0 if soft == resource.RLIM_INFINITY else soft
    return 0


def _read_memory() -> int:
    """Return the bytes of memory of the machine, or 0 if it does not tell."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        for line in _MEMORY_FILE.read_text(encoding="ascii").splitlines():
            if line.startswith(_MEMORY_FIELD):
                return int(line.split()[1]) * _KIBIBYTE
    return 0
