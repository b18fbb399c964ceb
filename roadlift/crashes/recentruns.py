"""Keep the runs that have just ended, until their endpoints survived them."""

from typing import NamedTuple

from roadlift.crashes.ledger import Work
from roadlift.decisions.crashes import SURVIVAL_TIME


class RecentRun(NamedTuple):
    """A run that ended: whole, or given up by this process or its caller.

    It produced its first event at ``began_at``, or was sent then if it
    produced none.
    """

    endpoint: str
    began_at: float
    work: Work
    is_complete: bool


class RecentRuns:
    """The runs that endpoints may yet crash under, although they are over."""

    def __init__(self) -> None:
        self._runs: list[RecentRun] = []

    def add(self, run: RecentRun) -> None:
        """Keep a run that has just ended."""
        self._runs.append(run)

    def list_parts(self, endpoint: str) -> list[bytes]:
        """Return the parts of calls that an endpoint has not survived yet."""
        runs = (run for run in self._runs if run.endpoint == endpoint)
        return [part for run in runs for part in run.work.identify_parts()]

    def take_settled(self, now: float) -> list[RecentRun]:
        """Remove the runs that began long enough ago, and return them."""
        begun_by = now - SURVIVAL_TIME
        settled = [run for run in self._runs if run.began_at <= begun_by]
        if settled:
            self._runs = [run for run in self._runs if run.began_at > begun_by]
        return settled
