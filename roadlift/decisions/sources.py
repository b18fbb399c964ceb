"""Choose the aggregator from which an instance receives owners' updates.

Load pattern: hundreds of instances, and a few owners that each publish all
changes at their engines. If each owner sent to each instance, the number of
messages would grow with their product. Therefore an instance receives the
updates of one aggregator, that of its local zone as long as it is alive and
reads the store. A second one is probed occasionally, so that it can take over
within some tenths of a second; which further ones are used is spread by each
instance's own order of preference.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

# Seconds without a reply after which the current aggregator is left: two
# heartbeats of 0.25 s, with margin.
SOURCE_TIMEOUT = 0.65
# The same for one that is only probed, once a second.
STANDBY_TIMEOUT = 1.7
# Age in seconds at which an aggregator's list of endpoints expires: two read
# intervals after its last read. Then another aggregator is used.
LIST_MAX_AGE = 1.4
# Seconds until an aggregator that never replied is left: connections are first
# opened both ways, by an aggregator that all its subscribers contact at once
# when all start. With 0.65 each instance went through 4.5 aggregators in the
# first 3 seconds.
FIRST_REPLY_TIMEOUT = 1.0
# Seconds by which another aggregator's list must be newer if the current one's
# is old: while nobody can reach the store, no list is newer, and the instance
# does not switch.
MIN_LIST_LEAD = 0.5
# Seconds until an aggregator that did not reply is tried again.
RETRY_DELAY = 3.0
# Seconds until an aggregator that was left is used again, although it replies:
# each switch costs a snapshot of all that engines hold.
RETURN_DELAY = 1.5


class _Reply(NamedTuple):
    """The last reply of an aggregator; times of this process, in seconds."""

    asked_at: float
    list_at: float
    is_serving: bool


class Candidate(NamedTuple):
    """An aggregator, by the zone that it owns, with the age of its list.

    ``list_age`` is in seconds, as reported by other aggregators.
    """

    zone: str
    address: str
    list_age: float


class Sources:
    """The aggregators as known to one instance; ``order`` lists the zones.

    The first zone is the instance's local zone.
    """

    def __init__(self, order: Sequence[str]) -> None:
        self._ranks = {zone: rank for rank, zone in enumerate(order)}
        self._local_zone = order[0]
        self._replies: dict[str, _Reply] = {}
        self._tried_at: dict[str, float] = {}
        self._left_at: dict[str, float] = {}
        self.current = ""

    def record_reply(
        self, address: str, asked_at: float, list_age: float, is_serving: bool
    ) -> None:
        """Record the reply to a message that was sent at ``asked_at``."""
        known = self._replies.get(address)
        if known is None or asked_at >= known.asked_at:
            reply = _Reply(asked_at, asked_at - list_age, is_serving)
            self._replies[address] = reply

    def choose(self, candidates: Mapping[str, Candidate], now: float) -> str:
        """Return the address of the aggregator to receive from, or empty.

        ``candidates`` are the known owners, by zone.
        """
        self._forget({candidate.address for candidate in candidates.values()})
        local = candidates.get(self._local_zone)
        is_local_alive = local is not None and self._is_alive(local.address, now)
        rank = lambda candidate: self._rank(candidate, is_local_alive, now)
        best = min(
            candidates.values(),
            key=lambda candidate: (rank(candidate), self._ranks[candidate.zone]),
            default=None,
        )
        address = best.address if best else ""
        if address != self.current:
            self._left_at[self.current] = now
            self._tried_at[address] = now
            self.current = address
        return address

    def list_probe_targets(self, candidates: Mapping[str, Candidate]) -> list[str]:
        """Return the aggregators to probe: the local zone's and a standby."""
        ordered = sorted(
            candidates.values(), key=lambda candidate: self._ranks[candidate.zone]
        )
        addresses = dict.fromkeys(candidate.address for candidate in ordered)
        return [address for address in list(addresses)[:2] if address != self.current]

    def is_alive(self, now: float) -> bool:
        """Return whether the chosen aggregator replies."""
        return self._is_alive(self.current, now)

    def _forget(self, addresses: set[str]) -> None:
        """Drop the aggregators that no longer own a zone."""
        for known in (self._replies, self._tried_at, self._left_at):
            for gone in set(known) - addresses:
                del known[gone]

    def _is_alive(self, address: str, now: float) -> bool:
        reply = self._replies.get(address)
        timeout = SOURCE_TIMEOUT if address == self.current else STANDBY_TIMEOUT
        return reply is not None and reply.is_serving and now - reply.asked_at < timeout

    def _has_new_list(self, address: str, now: float) -> bool:
        """Return whether a list is recent, or newer than the current one's."""
        list_at = self._replies[address].list_at
        if now - list_at < LIST_MAX_AGE:
            return True
        current = self._replies.get(self.current)
        return current is not None and list_at > current.list_at + MIN_LIST_LEAD

    def _rank(self, candidate: Candidate, is_local_alive: bool, now: float) -> int:
        """Return the rank of a choice; the smallest is the best."""
        is_current = candidate.address == self.current
        is_alive = self._is_alive(candidate.address, now)
        left_at = self._left_at.get(candidate.address, float("-inf"))
        was_left = not is_current and now - left_at < RETURN_DELAY
        if is_alive and not was_left and self._has_new_list(candidate.address, now):
            return 0
        since_try = now - self._tried_at.get(candidate.address, float("-inf"))
        timeout = (
            SOURCE_TIMEOUT
            if candidate.address in self._replies
            else FIRST_REPLY_TIMEOUT
        )
        if not is_alive and is_current and since_try < timeout:
            return 1 if candidate.address in self._replies else 0
        is_newer = candidate.list_age < LIST_MAX_AGE - MIN_LIST_LEAD
        is_worth_trying = not is_local_alive or is_newer
        if not is_alive and is_worth_trying and since_try >= RETRY_DELAY:
            return 2
        if is_alive:
            return 3 if is_current else 4
        return 5
