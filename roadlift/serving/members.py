"""Track the calls that the subscribers of an aggregator report."""

from collections import Counter
from typing import NamedTuple

from roadlift.serving.calls import Model


class UsageKey(NamedTuple):
    """An adapter at an engine of a zone, where calls run."""

    zone: str
    endpoint: str
    model: Model


class UseChange(NamedTuple):
    """A change of an adapter's calls at an engine.

    ``begun`` counts the calls that began; ``change`` is the difference in the
    number of running calls.
    """

    key: UsageKey
    begun: int
    change: int


class MemberCalls:
    """The running calls and unread prompt tokens of each subscriber."""

    def __init__(self) -> None:
        self._running: dict[str, dict[UsageKey, int]] = {}
        self._reading: dict[str, dict[tuple[str, str], int]] = {}
        self._tokens: Counter[str] = Counter()

    def apply_uses(self, member: str, zone: str, uses: list) -> list[UseChange]:
        """Apply the uses in a usage report; return the resulting changes."""
        running = self._running.setdefault(member, {})
        changes = []
        for endpoint, base, adapter, begun, count in uses:
            key = UsageKey(zone, endpoint, Model(base, adapter))
            change = count - running.get(key, 0)
            changes.append(UseChange(key, begun, change))
            if count:
                running[key] = count
            else:
                running.pop(key, None)
        return changes

    def note_reading(self, member: str, zone: str, endpoint: str, tokens: int) -> None:
        """Record a member's number of unread prompt tokens at an engine."""
        reading = self._reading.setdefault(member, {})
        key = (zone, endpoint)
        self._tokens[endpoint] += tokens - reading.get(key, 0)
        if tokens:
            reading[key] = tokens
        else:
            reading.pop(key, None)
        if not self._tokens[endpoint]:
            del self._tokens[endpoint]

    def count_reading(self, endpoint: str) -> int:
        """Return the number of unread prompt tokens at an engine."""
        return self._tokens[endpoint]

    def list_reading(self, member: str) -> list[tuple[str, str]]:
        """Return the (zone, engine) pairs with unread prompts of a member."""
        return list(self._reading.get(member, ()))

    def forget(self, member: str) -> list[UseChange]:
        """Drop a member's reports; return the resulting changes."""
        for zone, endpoint in self.list_reading(member):
            self.note_reading(member, zone, endpoint, 0)
        self._reading.pop(member, None)
        running = self._running.pop(member, {})
        return [UseChange(key, 0, -count) for key, count in running.items()]
