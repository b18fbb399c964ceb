"""Watch, on the runners' side, whether what they say of themselves is kept to.

Runners don't know who sends to them: whose a call is, is told by its sender.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

DRAIN = 2.0  # Seconds behind an answer that says so in which calls may come.
NOTICE = 0.5  # Seconds behind the asking for rest in which calls may come.
MOST_IN_REST = 2  # Calls that may come in the rest of it.


class Sent(NamedTuple):
    """To which run of an instance a call was sent, and when."""

    process: str
    at: float


class LateCall(NamedTuple):
    """A call sent ``after`` s behind an answer that its runner leaves."""

    call_id: str
    runner: str
    process: str
    after: float


class BrokenRest(NamedTuple):
    """A rest of ``seconds``, asked for at ``at``, in which ``calls`` came."""

    runner: str
    process: str
    at: float
    seconds: float
    calls: int


class _Arrival(NamedTuple):
    """A call that came to a runner."""

    at: float
    call_id: str


class _Said(NamedTuple):
    """What an answer said: a rest, or None that the runner leaves."""

    at: float
    call_id: str
    rest: float | None


class StatementWatch:
    """The calls that came to runners, and what these said in answers."""

    def __init__(self) -> None:
        self._calls: dict[str, list[_Arrival]] = {}
        self._said: dict[str, list[_Said]] = {}

    def describe(self) -> dict:
        """Return all that was noted, as JSON has it."""
        return {"calls": self._calls, "said": self._said}

    @classmethod
    def read(cls, content: dict) -> "StatementWatch":
        """Read what ``describe`` returned in another process."""
        watch = cls()
        for runner, calls in content["calls"].items():
            watch._calls[runner] = [_Arrival(*one) for one in calls]
        for runner, all_said in content["said"].items():
            watch._said[runner] = [_Said(*one) for one in all_said]
        return watch

    def note_call(self, runner: str, call_id: str, now: float) -> None:
        """Count a call that came."""
        self._calls.setdefault(runner, []).append(_Arrival(now, call_id))

    def note_leaving(self, runner: str, call_id: str, now: float) -> None:
        """Learn that an answer said that its runner leaves."""
        self._said.setdefault(runner, []).append(_Said(now, call_id, None))

    def note_rest(self, runner: str, call_id: str, seconds: float, now: float) -> None:
        """Learn that a refusal asked for rest."""
        self._said.setdefault(runner, []).append(_Said(now, call_id, seconds))

    def count_rests(self) -> int:
        """Return how often rest was asked for."""
        return sum(
            said.rest is not None
            for all_said in self._said.values()
            for said in all_said
        )

    def list_asked(self, sent: Mapping[str, Sent]) -> list[tuple[str, str]]:
        """Return runner and process of each asking for rest."""
        return [
            (runner, sent[said.call_id].process)
            for runner, all_said in self._said.items()
            for said in all_said
            if said.rest is not None and said.call_id in sent
        ]

    def list_late(self, sent: Mapping[str, Sent]) -> list[LateCall]:
        """Return the calls that came to runners that leave, too late."""
        found = []
        for runner, all_said in self._said.items():
            told = self._find_told(all_said, sent)
            for call, sender in self._list_senders(runner, sent):
                after = sender.at - told.get(sender.process, float("inf"))
                if after > DRAIN:
                    late = LateCall(call.call_id, runner, sender.process, after)
                    found.append(late)
        return found

    def list_broken(self, sent: Mapping[str, Sent]) -> list[BrokenRest]:
        """Return the rests in which too many calls came."""
        found = []
        for runner, all_said in self._said.items():
            calls = list(self._list_senders(runner, sent))
            for said in all_said:
                if said.rest is None or said.call_id not in sent:
                    continue
                process = sent[said.call_id].process
                count = sum(
                    sender.process == process
                    and NOTICE < call.at - said.at <= said.rest
                    for call, sender in calls
                )
                if count > MOST_IN_REST:
                    rest = BrokenRest(runner, process, said.at, said.rest, count)
                    found.append(rest)
        return found

    def _find_told(
        self, all_said: list[_Said], sent: Mapping[str, Sent]
    ) -> dict[str, float]:
        """Return when each process heard first that a runner leaves."""
        told: dict[str, float] = {}
        for said in all_said:
            if said.rest is None and said.call_id in sent:
                told.setdefault(sent[said.call_id].process, said.at)
        return told

    def _list_senders(
        self, runner: str, sent: Mapping[str, Sent]
    ) -> Iterator[tuple[_Arrival, Sent]]:
        for call in self._calls.get(runner, ()):
            if call.call_id in sent:
                yield call, sent[call.call_id]
