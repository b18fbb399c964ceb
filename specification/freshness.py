"""Specify as of when an instance knows the keys, by reading and by relay.

One instance reads the store, another hears of it from that one. Reads and
tellings take any time, both machines may be suspended, and a key is taken
away at some time. A call comes, is let in, waits, and is sent. Time goes in
ticks; no call may be sent more than LIMIT ticks behind the revocation.
"""

from typing import NamedTuple

from minicheck import Protocol

LIMIT = 1  # Ticks for which a revoked key may be served.
MOST_TIME = 3
RULES = ("read_before", "relay_before", "judge_at_send", "count_suspension")

READER, HEARER = 0, 1
NEVER = -99  # Before all that counts.


class Knowledge(NamedTuple):
    """What an instance knows: whether the key is there, as of when.

    ``lost`` are ticks that its clock has left out, ``suspensions`` those of
    its machine that may still come.
    """

    has_key: bool = True
    known_at: int = NEVER
    is_suspended: bool = False
    lost: int = 0
    suspensions: int = 1


class Question(NamedTuple):
    """A read, or a question to the reader, and the answer on its way."""

    asked_at: int
    is_answered: bool = False
    has_key: bool = True
    age: int = 0


class State(NamedTuple):
    """The time, the revocation, both instances, questions and a call."""

    time: int
    revoked_at: int | None
    instances: tuple[Knowledge, Knowledge]
    questions: tuple[Question | None, Question | None]
    is_waiting: bool  # A call at the hearer, that was let in.
    is_broken: bool


class Freshness:
    """The steps of the specification, with some rules removed."""

    def __init__(self, without: str = "") -> None:
        self.without = without

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        initial = State(0, None, (Knowledge(), Knowledge()), (None, None), False, False)
        return Protocol(
            name="freshness",
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=lambda raw: self.list_steps(State(*raw)),
            invariants={
                "no_revoked_key_is_sent_late": lambda fields: not fields["is_broken"]
            },
        )

    def list_steps(self, state: State) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        if state.is_broken:
            return []
        steps = self._list_times(state)
        for number in (READER, HEARER):
            steps += self._list_suspensions(state, number)
            if not state.instances[number].is_suspended:
                steps += self._list_questions(state, number)
        steps += self._list_answers(state)
        if not state.instances[HEARER].is_suspended:
            steps += self._list_calls(state)
        return steps

    def _list_times(self, state: State) -> list[tuple]:
        steps: list[tuple] = []
        if state.revoked_at is None:
            steps.append((("revoke",), state._replace(revoked_at=state.time)))
        if state.time < MOST_TIME:
            instances = tuple(self._tick(one) for one in state.instances)
            after = state._replace(time=state.time + 1, instances=instances)
            steps.append((("tick",), after))
        return steps

    def _tick(self, one: Knowledge) -> Knowledge:
        is_left_out = one.is_suspended and self.without == "count_suspension"
        return one._replace(lost=one.lost + 1) if is_left_out else one

    def _list_suspensions(self, state: State, number: int) -> list[tuple]:
        one = state.instances[number]
        if one.is_suspended:
            after = one._replace(is_suspended=False)
            return [(("wake", number), _put(state, number, after))]
        if not one.suspensions:
            return []
        after = one._replace(is_suspended=True, suspensions=one.suspensions - 1)
        return [(("suspend", number), _put(state, number, after))]

    def _list_questions(self, state: State, number: int) -> list[tuple]:
        """Ask, or take the answer."""
        now = _tell_time(state, number)
        question = state.questions[number]
        if question is None:
            after = _ask(state, number, Question(now))
            return [(("ask", number), after)]
        if not question.is_answered:
            # It may be lost, and is asked anew.
            return [(("give up", number), _ask(state, number, None))]
        rule = ("read_before", "relay_before")[number]
        known_at = question.asked_at - question.age
        if self.without == rule:
            known_at = now
        one = state.instances[number]
        after = one._replace(
            has_key=one.has_key and question.has_key,
            known_at=max(one.known_at, known_at),
        )
        taken = _put(_ask(state, number, None), number, after)
        return [(("take", number), taken)]

    def _list_answers(self, state: State) -> list[tuple]:
        """Let the store answer the reader, and the reader the hearer."""
        steps: list[tuple] = []
        read, heard = state.questions
        if read is not None and not read.is_answered:
            has_key = state.revoked_at is None
            answered = read._replace(is_answered=True, has_key=has_key)
            steps.append((("store answers",), _ask(state, READER, answered)))
        reader = state.instances[READER]
        is_asked = heard is not None and not heard.is_answered
        if is_asked and not reader.is_suspended and reader.known_at != NEVER:
            answered = heard._replace(
                is_answered=True,
                has_key=reader.has_key,
                age=_tell_time(state, READER) - reader.known_at,
            )
            steps.append((("reader answers",), _ask(state, HEARER, answered)))
        return steps

    def _list_calls(self, state: State) -> list[tuple]:
        """Let a call in, or send it."""
        one = state.instances[HEARER]
        age = _tell_time(state, HEARER) - one.known_at
        may_pass = one.has_key and age <= LIMIT
        if not state.is_waiting:
            if not may_pass:
                return []
            return [(("let in",), state._replace(is_waiting=True))]
        if not may_pass and self.without != "judge_at_send":
            return [(("refuse",), state._replace(is_waiting=False))]
        revoked_at = state.revoked_at
        is_late = revoked_at is not None and state.time - revoked_at > LIMIT
        return [(("send",), state._replace(is_waiting=False, is_broken=is_late))]


def _tell_time(state: State, number: int) -> int:
    return state.time - state.instances[number].lost


def _put(state: State, number: int, one: Knowledge) -> State:
    instances = list(state.instances)
    instances[number] = one
    return state._replace(instances=tuple(instances))


def _ask(state: State, number: int, question: Question | None) -> State:
    questions = list(state.questions)
    questions[number] = question
    return state._replace(questions=tuple(questions))
