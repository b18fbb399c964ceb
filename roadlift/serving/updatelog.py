"""Keep an owner's recent updates, and choose what to resend to a subscriber.

Load pattern: every instance of a deployment subscribes, and an owner's link
may be slow. Resends to subscribers that are behind must not delay the updates
themselves. An owner on a 5 Mbit/s link that sent its full state, four times a
second, to each of 79 subscribers that were behind by any update delayed its
updates so much that all subscribers stayed behind from then on.
"""

import enum
from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

# Updates that are kept for resends: about 25 s of them at the usual rate.
MAX_KEPT = 256
# Seconds between resends to one subscriber, as the last may be in transit. The
# interval doubles, up to the maximum, after each resend that did not help: a
# congested link must not get more copies of what it already carries.
RESEND_INTERVAL = 0.6
MAX_RESEND_INTERVAL = 10.0


class Change(NamedTuple):
    """A change at an engine, as in a message.

    A version of -1 means that the adapter is gone; with an empty base model,
    that all earlier updates about the engine are void.
    """

    endpoint: str
    base: str
    adapter: str
    version: int


def pack_changes(changes: Iterable[Change]) -> list:
    """Return changes in a compact format for a message.

    Of an adapter's changes only the last is kept; a change that voids an
    engine's updates removes the earlier ones of that engine. The names of an
    engine and a base model are written once for all their adapters, as the
    updates of a busy owner fill its link.
    """
    packed: dict[tuple[str, str], dict[str, int]] = {}
    for change in changes:
        if not change.base:
            for key in [key for key in packed if key[0] == change.endpoint]:
                del packed[key]
        packed.setdefault((change.endpoint, change.base), {})[change.adapter] = (
            change.version
        )
    return [
        [endpoint, base, [value for item in adapters.items() for value in item]]
        for (endpoint, base), adapters in packed.items()
    ]


def unpack_changes(packed: list) -> Iterator[Change]:
    """Yield the changes of a list made by ``pack_changes``."""
    for endpoint, base, versions in packed:
        for adapter, version in zip(versions[::2], versions[1::2], strict=True):
            yield Change(endpoint, base, adapter, version)


class CatchUp(enum.Enum):
    """What to send to a subscriber: nothing, the missed changes, or all."""

    NOTHING = "nothing"
    CHANGES = "changes"
    ALL = "all"


class _Update(NamedTuple):
    serial: int
    changes: list[Change]


class _ResendState:
    """When the next resend to one subscriber may begin."""

    __slots__ = ("next_at", "interval")

    def __init__(self) -> None:
        self.next_at = float("-inf")
        self.interval = RESEND_INTERVAL


class ResendLimiter:
    """Limits resends to subscribers, with an exponential back-off."""

    def __init__(self) -> None:
        self._states: dict[str, _ResendState] = {}

    def acquire(self, subscriber: str, now: float) -> bool:
        """Return whether to resend now, and count it as sent if so."""
        state = self._states.setdefault(subscriber, _ResendState())
        if now < state.next_at:
            return False
        state.next_at = now + state.interval
        state.interval = min(MAX_RESEND_INTERVAL, 2 * state.interval)
        return True

    def forget(self, subscriber: str) -> None:
        """Reset a subscriber that has caught up or is gone."""
        self._states.pop(subscriber, None)


class UpdateLog:
    """The recent updates of one owner, by serial."""

    def __init__(self) -> None:
        self._entries: deque[_Update] = deque(maxlen=MAX_KEPT)
        self._resends = ResendLimiter()
        self.serial = 0

    def add(self, changes: list[Change]) -> int:
        """Add an update that is sent now; return the serial before it."""
        self.serial += 1
        self._entries.append(_Update(self.serial, changes))
        return self.serial - 1

    def choose(
        self, subscriber: str, known: int | None, is_lacking: bool, now: float
    ) -> CatchUp:
        """Return what to send now to a subscriber that knows a serial.

        ``known`` is None if it knows another owner's updates; ``is_lacking``
        means that updates were lost, as later ones have arrived. An old
        serial alone is no reason to resend: the rest may be in transit.
        """
        is_kept = known is not None and self._is_kept(known)
        if is_kept and not is_lacking:
            self._resends.forget(subscriber)
            return CatchUp.NOTHING
        if not self._resends.acquire(subscriber, now):
            return CatchUp.NOTHING
        return CatchUp.CHANGES if is_kept else CatchUp.ALL

    def list_since(self, known: int) -> list[Change]:
        """Return the changes after a serial, in order."""
        return [
            change
            for entry in self._entries
            if entry.serial > known
            for change in entry.changes
        ]

    def forget(self, subscriber: str) -> None:
        """Drop a subscriber that is gone."""
        self._resends.forget(subscriber)

    def _is_kept(self, known: int) -> bool:
        """Return whether all updates after a serial are kept."""
        oldest = self._entries[0].serial if self._entries else self.serial + 1
        return oldest - 1 <= known <= self.serial
