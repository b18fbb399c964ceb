"""Specify the claim on an idempotency key.

Three tries with the same key, at any instances, meet one row. A write may
take effect late, and its answer may be lost; so may the request that is sent
to the endpoint under a claim.
"""

from typing import NamedTuple

from minicheck import Protocol

ABSENT, CLAIMED, RELEASED, DONE = "absent", "claimed", "released", "done"
RULES = ("claim_first", "read_back", "release_unrun", "release_own", "retry_unrun")


class Row(NamedTuple):
    """The key's row; its version grows with each write."""

    state: str = ABSENT
    owner: int = -1
    version: int = 0


class Try(NamedTuple):
    """One try: where it stands, and the version of its claim."""

    phase: str = "idle"
    version: int = 0
    sends: int = 0


class State(NamedTuple):
    """The row, the tries, the messages and what the endpoint has run."""

    row: Row
    tries: tuple
    net: frozenset
    runs: tuple
    told_unrun: frozenset


TOLD = ("answered", "unknown", "unrun")


class Claims:
    """The steps of the specification, with some rules removed."""

    def __init__(self, tries: int = 3, without: str = "") -> None:
        self.tries = tries
        self.without = without

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        initial = State(
            Row(), (Try(),) * self.tries, frozenset(), (0,) * self.tries, frozenset()
        )
        return Protocol(
            name="claims",
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=lambda raw: self.list_steps(State(*raw)),
            invariants={
                "at_most_once": lambda fields: sum(fields["runs"]) <= 1,
                "not_run_is_true": lambda fields: (
                    not any(fields["runs"][index] for index in fields["told_unrun"])
                ),
            },
        )

    def list_steps(self, state: State) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        steps: list[tuple] = []
        for index, one in enumerate(state.tries):
            steps += self._list_try_steps(state, index, one)
        for message in state.net:
            steps.append(self._deliver(state, message))
        return steps

    def _list_try_steps(self, state: State, index: int, one: Try) -> list:
        match one.phase:
            case "idle":
                after = self._write(state, ("write", index, CLAIMED, index, 0))
                return [(("insert", index), _move(after, index, "inserting"))]
            case "inserting":
                lost = "claimed" if self.without == "read_back" else "lost"
                steps = [(("lose", index), _move(state, index, lost))]
                if self.without == "claim_first":
                    steps += self._list_sends(state, index, one)
                return steps
            case "conflict" | "lost":
                return [
                    (("read", index), self._judge(state, index, one.phase)),
                    (("read_fails", index), self._tell_unrun(state, index)),
                ]
            case "claimed":
                return self._list_sends(state, index, one) + [
                    (("refuse", index), self._release(state, index, one))
                ]
            case "sent":
                return self._list_outcomes(state, index, one)
            case "abandoning":
                return [(("abandon", index), self._abandon(state, index))]
        return []

    def _list_sends(self, state: State, index: int, one: Try) -> list:
        after = self._write(state, ("run", index, one.sends))
        sent = one._replace(phase="sent", sends=one.sends + 1)
        return [(("send", index), _set(after, index, sent))]

    def _list_outcomes(self, state: State, index: int, one: Try) -> list:
        """Learn that it ran, that it was refused, or nothing."""
        steps = []
        running = ("run", index, one.sends - 1)
        if state.runs[index]:
            write = ("write", index, DONE, index, one.version)
            after = self._write(state, write)
            steps.append((("finish", index), _move(after, index, "answered")))
        elif running in state.net:
            refused = state._replace(net=state.net - {running})
            after = self._release(refused, index, one)
            steps.append((("refused", index), after))
        if self.without == "release_unrun":
            steps.append((("lose_run", index), self._release(state, index, one)))
        elif self.without == "retry_unrun" and one.sends < 2:
            steps += self._list_sends(state, index, one)
        else:
            steps.append((("lose_run", index), _move(state, index, "unknown")))
        return steps

    def _judge(self, state: State, index: int, cause: str) -> State:
        """Act on the row as read back."""
        row = state.row
        if row.state == ABSENT:
            return self._abandon(self._tell_unrun(state, index), index)
        if row.state == CLAIMED and row.owner == index:
            return _set(state, index, Try("claimed", row.version))
        if row.state == RELEASED and cause == "conflict":
            write = ("write", index, CLAIMED, index, row.version)
            return _move(self._write(state, write), index, "inserting")
        if row.state == RELEASED:
            return self._tell_unrun(state, index)
        return _move(state, index, "answered" if row.state == DONE else "unknown")

    def _tell_unrun(self, state: State, index: int) -> State:
        after = _move(state, index, "abandoning")
        return after._replace(told_unrun=state.told_unrun | {index})

    def _abandon(self, state: State, index: int) -> State:
        """Release what may stand of a claim under which nothing was sent."""
        row = state.row
        is_ours = row.state == ABSENT or (row.state == CLAIMED and row.owner == index)
        if self.without == "release_own":
            is_ours = row.state != DONE
        after = _move(state, index, "unrun")
        if not is_ours:
            return after
        return self._write(after, ("write", index, RELEASED, index, row.version))

    def _release(self, state: State, index: int, one: Try) -> State:
        write = ("write", index, RELEASED, index, one.version)
        after = _move(self._write(state, write), index, "unrun")
        return after._replace(told_unrun=state.told_unrun | {index})

    def _write(self, state: State, message: tuple) -> State:
        return state._replace(net=state.net | {message})

    def _deliver(self, state: State, message: tuple) -> tuple:
        after = state._replace(net=state.net - {message})
        if message[0] == "run":
            runs = list(state.runs)
            runs[message[1]] += 1
            return (("run", message[1]), after._replace(runs=tuple(runs)))
        _, index, kind, owner, expected = message
        matches = state.row.version == expected
        if matches:
            after = after._replace(row=Row(kind, owner, expected + 1))
        one = state.tries[index]
        if one.phase == "inserting" and kind == CLAIMED:
            claimed = Try("claimed", expected + 1)
            settled = _set(after, index, claimed if matches else Try("conflict"))
            # The answer may be lost too: then the try learns nothing of it.
            return (("written", message), settled)
        return (("written_late", message), after)


def _set(state: State, index: int, one: Try) -> State:
    tries = list(state.tries)
    tries[index] = one
    return state._replace(tries=tuple(tries))


def _move(state: State, index: int, phase: str) -> State:
    return _set(state, index, state.tries[index]._replace(phase=phase))
