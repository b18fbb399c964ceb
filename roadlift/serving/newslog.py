"""Keep an owner's recent news, and choose what a subscriber is sent of them.

Load pattern: every instance of a deployment subscribes, and an owner's link
may be a weak one. What is sent to a subscriber that is behind must not be what
delays the news: an owner on 5 Mbit/s that sent all that its engines hold to
each of 79 subscribers which were behind by any news, four times a second, had
news on its link so late that all were behind from then on.
"""

import enum
from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

# News that are kept to catch up with: some 25 s of them at the usual pace.
MOST_KEPT = 256
# Seconds behind a sending to one subscriber in which no other is sent: it may
# be on its way. Behind each that did not help it is doubled, up to the last: a
# link that is full must not be given more of what it already holds.
RESEND_PERIOD = 0.6
MOST_RESEND_PERIOD = 10.0


class Change(NamedTuple):
    """What changed at an engine, as a message has it.

    A version of -1 tells that the adapter is gone; with an empty base model,
    that nothing holds any more of what was told of the engine.
    """

    endpoint: str
    base: str
    adapter: str
    version: int


def pack_changes(changes: Iterable[Change]) -> list:
    """Return changes as a short list for a message, in any order of engines.

    Of an adapter only the last change counts, unless all of its engine were
    taken back between. The names of an engine and a base model stand once for
    all their adapters, as the news of a busy owner fill its link.
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
        [endpoint, base, [part for item in adapters.items() for part in item]]
        for (endpoint, base), adapters in packed.items()
    ]


def unpack_changes(packed: list) -> Iterator[Change]:
    """Yield the changes that pack_changes made a list of."""
    for endpoint, base, parts in packed:
        for adapter, version in zip(parts[::2], parts[1::2], strict=True):
            yield Change(endpoint, base, adapter, version)


class CatchUp(enum.Enum):
    """What a subscriber is sent: nothing, what it lacks, or all."""

    NOTHING = "nothing"
    CHANGES = "changes"
    ALL = "all"


class _Entry(NamedTuple):
    serial: int
    changes: list[Change]


class _Sent:
    """What one subscriber was sent, and when it may be sent more."""

    __slots__ = ("next_at", "pause")

    def __init__(self) -> None:
        self.next_at = float("-inf")
        self.pause = RESEND_PERIOD


class Resends:
    """When subscribers may be sent again what may still be on its way."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def take(self, subscriber: str, now: float) -> bool:
        """Tell whether to send now, and count it as sent."""
        sent = self._sent.setdefault(subscriber, _Sent())
        if now < sent.next_at:
            return False
        sent.next_at = now + sent.pause
        sent.pause = min(MOST_RESEND_PERIOD, 2 * sent.pause)
        return True

    def forget(self, subscriber: str) -> None:
        """Learn that a subscriber has caught up, or is gone."""
        self._sent.pop(subscriber, None)


class NewsLog:
    """The news of one owner, by serial."""

    def __init__(self) -> None:
        self._entries: deque[_Entry] = deque(maxlen=MOST_KEPT)
        self._resends = Resends()
        self.serial = 0

    def add(self, changes: list[Change]) -> int:
        """Keep news that are sent now; return the serial before them."""
        self.serial += 1
        self._entries.append(_Entry(self.serial, changes))
        return self.serial - 1

    def choose(
        self, subscriber: str, known: int | None, is_lacking: bool, now: float
    ) -> CatchUp:
        """Return what a subscriber that knows a serial is sent now.

        ``known`` is None where it knows another owner's news; ``is_lacking``
        tells that news were lost, as later ones have arrived. That it is
        behind alone tells nothing: what it lacks may be on its way.
        """
        is_kept = known is not None and self._is_kept(known)
        if is_kept and not is_lacking:
            self._resends.forget(subscriber)
            return CatchUp.NOTHING
        if not self._resends.take(subscriber, now):
            return CatchUp.NOTHING
        return CatchUp.CHANGES if is_kept else CatchUp.ALL

    def list_since(self, known: int) -> list[Change]:
        """Return the changes behind a serial, in order."""
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
        """Tell whether all news behind a serial are kept."""
        oldest = self._entries[0].serial if self._entries else self.serial + 1
        return oldest - 1 <= known <= self.serial
