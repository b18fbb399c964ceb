"""Judge endpoints by what became of the calls that were sent to them."""

import math
from collections.abc import Collection

FAILURES = 3  # Failures in a row at which an endpoint is ejected.
# Part of the calls whose failure ejects an endpoint as well, once as many as
# LEAST_CALLS are remembered. Sound endpoints fail some calls of one kind too.
FAILED_PART = 0.3
LEAST_CALLS = 6.0
HALF_LIFE = 2.0  # Seconds in which a remembered call loses half its weight.
FIRST_EJECTION = 1.0  # Seconds; each further one in a row is twice as long.
MOST_EJECTION = 8.0  # Seconds.
MOST_SHARE = 0.5  # Part of a service's endpoints that may be ejected at once.
# Seconds that an endpoint is passed over which could not be connected to, at
# first and at most; each further time in a row is twice as long.
FIRST_ABSENCE = 0.5
MOST_ABSENCE = 4.0
TRIAL = 0.5  # Seconds in which one call tries whether it can be reached again.


class Record:
    """What is known of one endpoint."""

    __slots__ = (
        "absences",
        "absent_until",
        "calls",
        "ejected_until",
        "ejections",
        "failed_calls",
        "failures",
        "noted_at",
        "running",
    )

    def __init__(self) -> None:
        self.running = 0
        self.failures = 0
        self.calls = 0.0
        self.failed_calls = 0.0
        self.noted_at = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        self.absences = 0
        self.absent_until = 0.0

    def note_outcome(self, is_failure: bool, now: float) -> None:
        """Count a call that ended, and let older ones fade."""
        fade = math.exp2((self.noted_at - now) / HALF_LIFE)
        self.noted_at = now
        self.calls = self.calls * fade + 1.0
        self.failed_calls = self.failed_calls * fade + is_failure
        self.failures = self.failures + 1 if is_failure else 0

    def is_failing(self) -> bool:
        """Tell whether too many calls failed."""
        most = self.calls * FAILED_PART
        is_part = self.calls >= LEAST_CALLS and self.failed_calls >= most
        return is_part or self.failures >= FAILURES

    def forget_outcomes(self) -> None:
        """Judge anew by the calls from now on."""
        self.calls = self.failed_calls = 0.0


class Health:
    """The calls under way and the failures in a row, by endpoint."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}

    def count_running(self, endpoint: str) -> int:
        """Return this process's calls under way at an endpoint."""
        record = self._records.get(endpoint)
        return record.running if record else 0

    def begin(self, endpoint: str, now: float) -> None:
        """Count a call as under way."""
        record = self._records.setdefault(endpoint, Record())
        record.running += 1
        if record.absences:
            # The others wait for how this one fares.
            record.absent_until = now + TRIAL

    def end(self, endpoint: str) -> None:
        """Count a call as over."""
        record = self._records.get(endpoint)
        if record is not None and record.running:
            record.running -= 1

    def note_success(self, endpoint: str, now: float) -> None:
        """Learn that an endpoint answered as it should."""
        record = self._records.setdefault(endpoint, Record())
        record.note_outcome(False, now)
        if record.calls >= LEAST_CALLS and not record.is_failing():
            record.ejections = 0

    def note_answer(self, endpoint: str) -> None:
        """Learn that an endpoint can be reached, whatever it answered."""
        record = self._records.setdefault(endpoint, Record())
        record.absences = 0
        record.absent_until = 0.0

    def note_absence(self, endpoint: str, now: float) -> None:
        """Learn that an endpoint could not be connected to."""
        record = self._records.setdefault(endpoint, Record())
        seconds = min(MOST_ABSENCE, FIRST_ABSENCE * 2**record.absences)
        record.absences += 1
        record.absent_until = now + seconds

    def note_failure(self, endpoint: str, now: float) -> bool:
        """Learn of a failure; True means that the endpoint was ejected."""
        record = self._records.setdefault(endpoint, Record())
        record.note_outcome(True, now)
        if not record.is_failing() or now < record.ejected_until:
            return False
        record.forget_outcomes()
        seconds = min(MOST_EJECTION, FIRST_EJECTION * 2**record.ejections)
        record.ejections += 1
        record.ejected_until = now + seconds
        return True

    def is_ejected(self, endpoint: str, now: float) -> bool:
        """Tell whether an endpoint is passed over for a while."""
        record = self._records.get(endpoint)
        return record is not None and now < record.ejected_until

    def list_usable(self, endpoints: Collection, now: float) -> list:
        """Return the endpoints that can be reached and are not ejected.

        Where more than a part of those that can be reached are ejected, the
        trouble is not theirs alone, and all are used. Those that can't be
        reached are used only where there is no other.
        """
        reached = [one for one in endpoints if not self._is_absent(one.id, now)]
        usable = [one for one in reached if not self.is_ejected(one.id, now)]
        if len(usable) < len(reached) * (1.0 - MOST_SHARE):
            usable = reached
        return usable or list(endpoints)

    def _is_absent(self, endpoint: str, now: float) -> bool:
        record = self._records.get(endpoint)
        return record is not None and now < record.absent_until

    def forget(self, known: Collection[str]) -> None:
        """Drop the records of endpoints that are gone and idle."""
        for endpoint in set(self._records) - set(known):
            if not self._records[endpoint].running:
                del self._records[endpoint]
