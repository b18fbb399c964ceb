"""Specify how sends to an endpoint with a limit are given out.

``Sends``: two owners of a zone, one after the other, give sends out, one a
tick. An instance asks; the ask, the answer and the send itself take any time.
No WINDOW ticks may have more sends than begin in them and in a grant's life.

``Namings``: an endpoint names a limit by turns. Answers overtake each other.
No owner may take a limit for ended by an answer that was made before one, of
which it has heard, that names it.
"""

from typing import NamedTuple

from minicheck import Protocol

MOST_TIME = 3
WINDOW = 2  # Ticks in which sends are counted.
LIFE = 1  # Ticks for which a send may begin later than it was given out for.
PATIENCE = 1  # Ticks that a send may be given out ahead.
LAST = 1  # The first owner's lease is over behind this tick.
QUIET = 1  # Ticks until the second gives sends out.
MOST_ASKS = 4
MOST_ANSWERS = 3
MOST_TURNS = 3  # How often the endpoint begins or ceases to name its limit.

SEND_RULES = ("expire", "expire_from_ask", "check_lease", "stay_quiet")
NAMING_RULES = ("end_by_basis",)
RULES = (*SEND_RULES, *NAMING_RULES)
FIRST, SECOND = 0, 1


class Ask(NamedTuple):
    """An ask for a send, ``delay`` ticks ahead once it is given.

    ``begins_at`` and ``expires_at`` are by the asker's clock, once it heard.
    """

    asked_at: int
    delay: int | None = None
    begins_at: int | None = None
    expires_at: int = 0


class SendState(NamedTuple):
    """The time, what each owner gives out next, asks, and sends by tick.

    ``sent`` are those of the last WINDOW ticks, the present one last.
    """

    time: int
    next_at: tuple[int, int]
    asks: tuple[Ask, ...]
    left: int
    sent: tuple[int, ...]


class Sends:
    """The steps of giving sends out, with a rule removed."""

    def __init__(self, without: str = "") -> None:
        self.without = without

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        initial = SendState(0, (0, 0), (), MOST_ASKS, (0,) * WINDOW)
        return Protocol(
            name="sends",
            candidate=False,
            fields=SendState._fields,
            initial=initial,
            transitions=lambda raw: self.list_steps(SendState(*raw)),
            invariants={
                "no_window_has_too_many_sends": lambda fields: _is_kept(fields["sent"])
            },
        )

    def list_steps(self, state: SendState) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        if not _is_kept(state.sent):
            return []
        steps: list[tuple] = []
        if state.time < MOST_TIME:
            sent = (*state.sent[1:], 0)
            after = state._replace(time=state.time + 1, sent=sent)
            steps.append((("tick",), after))
        if state.left:
            asks = (*state.asks, Ask(state.time))
            after = state._replace(asks=_sort(asks), left=state.left - 1)
            steps.append((("ask",), after))
        for index, ask in enumerate(state.asks):
            if ask.delay is None:
                steps += self._list_gifts(state, index)
            elif ask.begins_at is None:
                steps.append((("hear",), self._hear(state, index)))
            else:
                steps += self._list_sends(state, index)
        return steps

    def _may_give(self, owner: int, time: int) -> bool:
        if owner == FIRST:
            return time <= LAST or self.without == "check_lease"
        quiet = 0 if self.without == "stay_quiet" else QUIET
        return time > LAST + quiet

    def _list_gifts(self, state: SendState, index: int) -> list[tuple]:
        """Give the next send out, if it begins soon; a denied ask is over."""
        steps = []
        for owner in (FIRST, SECOND):
            if not self._may_give(owner, state.time):
                continue
            begins_at = max(state.time, state.next_at[owner])
            if begins_at - state.time > PATIENCE:
                continue
            next_at = list(state.next_at)
            next_at[owner] = begins_at + 1
            given = state.asks[index]._replace(delay=begins_at - state.time)
            after = _put(state, index, given)._replace(next_at=tuple(next_at))
            steps.append((("give", owner), after))
        return steps

    def _hear(self, state: SendState, index: int) -> SendState:
        ask = state.asks[index]
        since = state.time if self.without == "expire_from_ask" else ask.asked_at
        heard = ask._replace(
            begins_at=state.time + ask.delay, expires_at=since + ask.delay + LIFE
        )
        return _put(state, index, heard)

    def _list_sends(self, state: SendState, index: int) -> list[tuple]:
        ask = state.asks[index]
        is_over = state.time > ask.expires_at and self.without != "expire"
        if state.time < ask.begins_at:
            return []
        asks = state.asks[:index] + state.asks[index + 1 :]
        after = state._replace(asks=asks)
        if is_over:
            return [(("expire",), after)]
        sent = (*state.sent[:-1], state.sent[-1] + 1)
        return [(("send",), after._replace(sent=sent))]


def _is_kept(sent: tuple[int, ...]) -> bool:
    return sum(sent) <= WINDOW + LIFE


def _sort(asks: tuple[Ask, ...]) -> tuple[Ask, ...]:
    return tuple(sorted(asks, key=repr))


def _put(state: SendState, index: int, ask: Ask) -> SendState:
    asks = [*state.asks[:index], ask, *state.asks[index + 1 :]]
    return state._replace(asks=_sort(tuple(asks)))


class Run(NamedTuple):
    """A send on a basis, and its answer once it is made."""

    basis: int
    made_at: int | None = None
    is_named: bool = False


class NamingState(NamedTuple):
    """What the endpoint names, what is under way, and what the owner knows.

    ``named_at`` is when the newest answer was made of which the owner has
    heard that it names the limit, ``ended_at`` the one that ended it.
    """

    time: int
    is_naming: bool
    turns: int
    left: int
    runs: tuple[Run, ...]
    serial: int
    is_limited: bool
    named_at: int
    ended_at: int


class Namings:
    """The steps by which an owner hears of a limit, with a rule removed."""

    def __init__(self, without: str = "") -> None:
        self.without = without

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        initial = NamingState(0, True, MOST_TURNS, MOST_ANSWERS + 2, (), 1, True, 0, -1)
        return Protocol(
            name="namings",
            candidate=False,
            fields=NamingState._fields,
            initial=initial,
            transitions=lambda raw: self.list_steps(NamingState(*raw)),
            invariants={
                "no_limit_is_ended_by_an_older_answer": lambda fields: (
                    fields["is_limited"] or fields["ended_at"] > fields["named_at"]
                )
            },
        )

    def list_steps(self, state: NamingState) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        steps: list[tuple] = []
        if state.turns:
            after = state._replace(is_naming=not state.is_naming, turns=state.turns - 1)
            steps.append((("turn",), after))
        if state.left and len(state.runs) < MOST_ANSWERS:
            for basis in {0, state.serial}:
                runs = (*state.runs, Run(basis))
                after = state._replace(left=state.left - 1, runs=runs)
                steps.append((("send", basis), after))
        for index, run in enumerate(state.runs):
            if run.made_at is None:
                steps.append((("answer",), _make(state, index)))
            else:
                steps.append((("hear",), self._hear(state, index)))
        return steps

    def _hear(self, state: NamingState, index: int) -> NamingState:
        run = state.runs[index]
        runs = state.runs[:index] + state.runs[index + 1 :]
        after = state._replace(runs=runs)
        if run.is_named:
            return after._replace(
                serial=state.serial + 1,
                is_limited=True,
                named_at=max(state.named_at, run.made_at),
            )
        is_newer = run.basis == state.serial or self.without == "end_by_basis"
        if not (state.is_limited and is_newer):
            return after
        return after._replace(is_limited=False, ended_at=run.made_at)


def _make(state: NamingState, index: int) -> NamingState:
    made = state.runs[index]._replace(made_at=state.time + 1, is_named=state.is_naming)
    runs = (*state.runs[:index], made, *state.runs[index + 1 :])
    return state._replace(time=state.time + 1, runs=runs)
