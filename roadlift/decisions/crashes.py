"""Judge which calls end the endpoints that run them.

Load pattern: a call ends each endpoint that begins to run it, with all that
runs there and all that the endpoint holds. It comes again under other ids, at
any instance, each 0.2 to 0.8 seconds and at times at several at once. Of all
calls that run on an endpoint when it ends, one is the cause at most, and
endpoints end for other reasons too.

What is known is a set of signs: an endpoint ended while it ran a call. Sets of
several instances are merged in any order. A call is refused once its signs
weigh enough, for longer with each further end, and it is cleared as soon as it
runs to a good end: then the ends had another cause. Where many calls end
endpoints, what only was there at several of these ends is told apart: a weak
sign counts for less beside a strong one of the same end, and for nothing once
the work of that one is sure to end endpoints.
"""

import zlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

# Weights of a sign: a call that ends its engine has the head of an answer and
# no event, most others have events. A call that was only sent, or had events,
# may be the cause too.
STRONG = 3
WEAK = 2
SHARED = 1  # Weight that counts of a weak sign beside a strong one.
# Weight of all signs from which on a call is refused: two strong ones or three
# of any kind, each of another endpoint. A call that is not the cause would
# have to come again twice, and each time to begin where an endpoint ends.
LIMIT = 6
# Seconds of a refusal behind the second end; ten times as long with each
# further one, as a call may be tried again: the endpoints' software may have
# been mended.
FIRST_REFUSAL = 60.0
GROWTH = 10.0
MOST_REFUSAL = 3600.0
# By how much longer, at most, an instance refuses than another, as a part. So
# one tries a call before the others let it in, and tells them how it ended.
SPREAD = 0.1
# Seconds that a sign is kept behind the last end or the end of the refusal.
MEMORY = 600.0
MOST_CALLS = 256  # Calls that are remembered.


class Sign(NamedTuple):
    """That an endpoint ended while it ran a call, ``age`` seconds ago.

    ``identity`` is of the call's work, ``endpoint`` of one run of an endpoint;
    a ``weight`` of 0 tells that the call was not the cause.
    """

    identity: bytes
    endpoint: str
    weight: int
    age: float


class _Causes(NamedTuple):
    """Endpoints whose end has a strong sign, and those with a sure cause."""

    suspected: set[str]
    sure: set[str]

    def weigh(self, endpoint: str, weight: int) -> int:
        """Return what counts of a sign."""
        if weight != WEAK or endpoint not in self.suspected:
            return weight
        return 0 if endpoint in self.sure else SHARED


class _Record:
    """The signs of one call: weights and times, by endpoint.

    ``causes`` are of all that is known.
    """

    __slots__ = ("causes", "signs")

    def __init__(self, causes: _Causes) -> None:
        self.signs: dict[str, tuple[int, float]] = {}
        self.causes = causes

    def _list_weights(self) -> list[int]:
        """Return the weights above 0 that count, one for each end."""
        found = [
            self.causes.weigh(endpoint, weight)
            for endpoint, (weight, _) in self.signs.items()
        ]
        return [weight for weight in found if weight]

    @property
    def is_sure(self) -> bool:
        """Tell whether all signs weigh enough, whatever else was there."""
        return sum(weight for weight, _ in self.signs.values()) >= LIMIT

    @property
    def weight(self) -> int:
        """Return the weight of the signs that count."""
        return sum(self._list_weights())

    @property
    def is_refused(self) -> bool:
        """Tell whether the signs that count weigh enough."""
        return self.weight >= LIMIT

    @property
    def ends(self) -> int:
        """Return how many endpoints ended that count."""
        return len(self._list_weights())

    def list_strong(self) -> list[str]:
        """Return the endpoints of the strong signs."""
        return [name for name, (weight, _) in self.signs.items() if weight >= STRONG]

    def measure_refusal(self) -> float:
        """Return the seconds of the refusal behind the last end."""
        if not self.is_refused:
            return 0.0
        return min(MOST_REFUSAL, FIRST_REFUSAL * GROWTH ** (self.ends - 2))

    def find_last(self) -> float:
        """Return when the last endpoint ended."""
        return max(at for _, at in self.signs.values())


class Crashes:
    """The calls under which endpoints ended, as one instance knows them.

    ``rank``, from 0 to 1, tells the instances apart.
    """

    def __init__(self, rank: float = 0.0) -> None:
        self._stretch = 1.0 + SPREAD * rank
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._checksum: int | None = None
        self._causes = _Causes(set(), set())

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is known, so that no call need be looked at."""
        return not self._records

    def is_suspect(self, identity: bytes) -> bool:
        """Tell whether an endpoint ended under a call that was not cleared."""
        record = self._records.get(identity)
        return record is not None and record.weight > 0

    def is_refused(self, identity: bytes) -> bool:
        """Tell whether the signs against a call weigh enough to refuse it."""
        record = self._records.get(identity)
        return record is not None and record.is_refused

    def is_settled(self, identity: bytes) -> bool:
        """Tell whether nothing speaks against a call any more."""
        record = self._records.get(identity)
        return record is None or not any(weight for weight, _ in record.signs.values())

    def count_ends(self, identity: bytes) -> int:
        """Return how many endpoints ended under a call."""
        record = self._records.get(identity)
        return record.ends if record is not None else 0

    def count_refused(self) -> int:
        """Return how many calls are refused, or tried once more."""
        return sum(record.is_refused for record in self._records.values())

    def measure_refusal(self, identity: bytes, now: float) -> float:
        """Return the seconds for which a call may not run; 0 if it may."""
        record = self._records.get(identity)
        if record is None or not record.is_refused:
            return 0.0
        until = record.find_last() + record.measure_refusal() * self._stretch
        return max(0.0, until - now)

    def merge(self, signs: Iterable[Sign], now: float) -> list[Sign]:
        """Learn of signs; return those that changed what is known."""
        found = [sign for sign in signs if self._merge(sign, now)]
        if found:
            self._explain()
        return found

    def list_refused(self) -> set[bytes]:
        """Return the calls that are refused, or tried once more."""
        return {name for name, record in self._records.items() if record.is_refused}

    def clear(self, identity: bytes) -> bool:
        """Learn that a call ran to a good end; tell whether that is news."""
        record = self._records.get(identity)
        if record is None or not record.weight:
            return False
        record.signs = {name: (0, at) for name, (_, at) in record.signs.items()}
        self._checksum = None
        self._explain()
        return True

    def list_signs(self, now: float, identity: bytes | None = None) -> list[Sign]:
        """Return the signs of one call, or of all."""
        records = self._records.items()
        return [
            Sign(name, endpoint, weight, round(now - at, 3))
            for name, record in records
            if identity in (None, name)
            for endpoint, (weight, at) in record.signs.items()
        ]

    def expire(self, now: float) -> None:
        """Forget what is old."""
        for identity, record in list(self._records.items()):
            until = record.find_last() + record.measure_refusal() + MEMORY
            if now > until:
                del self._records[identity]
                self._checksum = None
        self._explain()

    def compute_checksum(self) -> int:
        """Return a number that is the same where the same signs are known."""
        if self._checksum is None:
            self._checksum = 0
            for identity, record in self._records.items():
                for endpoint, (weight, _) in record.signs.items():
                    data = identity + bytes([weight]) + endpoint.encode()
                    self._checksum ^= zlib.crc32(data)
        return self._checksum

    def _merge(self, sign: Sign, now: float) -> bool:
        record = self._records.get(sign.identity)
        known = record.signs.get(sign.endpoint) if record is not None else None
        if known is not None and not _is_stronger(sign.weight, known[0]):
            return False
        if record is None:
            record = self._records[sign.identity] = _Record(self._causes)
            self._make_room()
        at = now - sign.age if known is None else known[1]
        record.signs[sign.endpoint] = (sign.weight, at)
        self._checksum = None
        return True

    def _explain(self) -> None:
        """Find the causes of ends, from all signs that are known.

        The same signs give the same, in whatever order they came.
        """
        suspected: set[str] = set()
        sure: set[str] = set()
        for record in self._records.values():
            strong = record.list_strong()
            suspected.update(strong)
            sure.update(strong if record.is_sure else ())
        self._causes = _Causes(suspected, sure)
        for record in self._records.values():
            record.causes = self._causes

    def _make_room(self) -> None:
        """Forget the oldest call, one that is not refused if there is one."""
        if len(self._records) <= MOST_CALLS:
            return
        older = list(self._records)[:-1]
        free = (name for name in older if not self._records[name].is_refused)
        del self._records[next(free, older[0])]


def _is_stronger(weight: int, known: int) -> bool:
    """Tell whether a sign goes before another of the same end.

    That work was not the cause is sure; else who saw most of it counts.
    """
    return weight != known and (weight == 0 or weight > known > 0)
