"""Specify leases over the returns of a store from an older copy.

Two instances meet one row. A write may take effect late, or lose its answer,
and may do so in a history other than the one in which it was sent: the store
may come back as of any state that the row ever had, counts versions on from
there and gives them out again. What is proved is that two never hold at once,
and that fencing numbers grow from term to term all the same. Times are in
ticks from now; orders, their way and the quiet time of one that comes back are
explored in ``lease``.
"""

from typing import NamedTuple

from minicheck import Protocol

LEASE = 2  # Ticks that a renewal holds.
LONG_AGO = -(LEASE + 1)  # Ticks; older times are kept as these.
# Each makes one kind of trouble possible; together they would not end.
VARIANTS = ("doubts", "releases")
# Writes of the first holder, and of the other instance.
MOST_WRITES = {"doubts": (1, 1), "releases": (2, 1)}
MOST_RETURNS = 1
RULES = (
    "count_from_seen",
    "rewrite_while_held",
    "find_doubt_by_era",
    "number_by_era",
    "void_old_answers",
    "wait_for_returned",
)
# The variants in which the loss of a rule shows, where it is not the first.
SHOWN_IN = {"wait_for_returned": "releases"}


class Row(NamedTuple):
    """The row: who wrote it in which era, and when on the store's clock."""

    version: int = 1
    owner: int = 0
    era: int = 0
    stamp: int = 0
    is_released: bool = False


class View(NamedTuple):
    """What one instance knows; ``fence`` is (era, version), or empty.

    ``place`` is the (era, version) of the known row, seen first at
    ``seen_at``; with ``is_lost`` no row has the term that it holds.
    ``sent_at`` and ``doubt`` are of writes without an answer, or None.
    """

    era: int = 0
    place: tuple = ()
    row: tuple = Row()
    seen_at: int = LONG_AGO
    fence: tuple = ()
    valid_until: int = 0
    is_lost: bool = False
    is_read: bool = False
    sent_at: int | None = None
    doubt: int | None = None
    writes: int = 0


HOLDER = View(place=(0, 1), seen_at=0, fence=(0, 1), valid_until=LEASE, is_read=True)


class State(NamedTuple):
    """The store, the instances, and what is on its way.

    ``past`` are the states that the row had before; ``highest`` is the fence
    of the newest term that was in force.
    """

    era: int = 0
    row: tuple = Row()
    past: tuple = ()
    views: tuple = (HOLDER, View())
    net: frozenset = frozenset()
    highest: tuple = (0, 1)
    is_growing: bool = True


class Returns:
    """The steps of the specification, with some rules removed."""

    def __init__(self, variant: str = VARIANTS[0], without: str = "") -> None:
        self.variant = variant
        self.without = without

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        return Protocol(
            name="returns",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=lambda raw: self.list_steps(State(*raw)),
            invariants={
                "one_holds": lambda fields: _count_holders(fields["views"]) <= 1,
                "numbers_grow": lambda fields: fields["is_growing"],
            },
        )

    def list_steps(self, state: State) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        steps = self._list_returns(state)
        passed = _pass_tick(state)
        if passed != state:
            steps.append((("tick",), passed))
        for index, raw in enumerate(state.views):
            steps += self._list_view_steps(state, index, View(*raw))
        for message in state.net:
            steps += self._deliver(state, message)
        return steps

    def _list_returns(self, state: State) -> list:
        """Let the store come back as of any state before."""
        if state.era >= MOST_RETURNS:
            return []
        return [
            (
                ("return", number),
                state._replace(era=state.era + 1, row=row, past=state.past[:number]),
            )
            for number, row in enumerate(state.past)
        ]

    # An instance.

    def _list_view_steps(self, state: State, index: int, view: View) -> list:
        if view.sent_at is not None and self.variant == "releases":
            return []
        if view.sent_at is not None:
            given_up = view._replace(sent_at=None, doubt=_oldest(view), is_read=False)
            return [(("give_up", index), _set(state, index, given_up))]
        steps = [(("read", index), self._read(state, index, view))]
        if self._may_write(view) and view.writes < MOST_WRITES[self.variant][index]:
            steps.append((("send", index), self._send(state, index, view)))
            is_held = view.fence and not view.is_lost
            if is_held and self.variant == "releases":
                steps.append((("release", index), self._release(state, index, view)))
        return steps

    def _may_write(self, view: View) -> bool:
        if not view.is_read or view.place[0] != view.era:
            return False
        if view.fence:
            is_over = view.is_lost and view.valid_until <= 0
            return not is_over or self.without == "rewrite_while_held"
        row = Row(*view.row)
        is_outdated = row.era < view.era
        began_at = row.stamp
        if is_outdated and self.without != "count_from_seen":
            began_at = view.seen_at
        is_waiting = not row.is_released
        if is_outdated and self.without != "wait_for_returned":
            is_waiting = True
        return -began_at >= (LEASE if is_waiting else 0)

    def _send(self, state: State, index: int, view: View) -> State:
        """Renew the lease, or take it."""
        row = Row(view.place[1], index, view.era, 0)
        sent = view._replace(sent_at=0, writes=view.writes + 1)
        write = ("write", index, sent.writes, row)
        return _set(state._replace(net=state.net | {write}), index, sent)

    def _release(self, state: State, index: int, view: View) -> State:
        """Give the lease back; nobody waits for the answer."""
        row = Row(view.place[1], index, view.era, 0, True)
        released = view._replace(
            fence=(), valid_until=0, is_read=False, writes=view.writes + 1
        )
        write = ("write", index, released.writes, row)
        return _set(state._replace(net=state.net | {write}), index, released)

    def _learn_era(self, view: View, era: int) -> View:
        """Learn of a newer era: what is known of the row is of one before."""
        if era <= view.era:
            return view
        known = view._replace(era=era, is_read=False, sent_at=None, doubt=None)
        if self.without == "find_doubt_by_era":
            known = known._replace(doubt=_oldest(view))
        if not view.fence:
            return known
        if view.valid_until <= 0 and self.without != "rewrite_while_held":
            return known._replace(fence=(), valid_until=0)
        return known._replace(is_lost=True)

    def _read(self, state: State, index: int, view: View) -> State:
        row = Row(*state.row)
        view = self._learn_era(view, state.era)._replace(is_read=True)
        place = (state.era, row.version)
        if place == view.place:
            return _set(state, index, view)
        is_outdated = row.era < view.era
        is_own = row.owner == index and not row.is_released
        if self.without != "find_doubt_by_era":
            is_own = is_own and not is_outdated
        if is_own and view.doubt is not None:
            return self._accept(state, index, view, (place, row, view.doubt))
        view = view._replace(place=place, seen_at=0)
        if view.is_lost and is_outdated:
            return _set(state, index, view)
        known = view._replace(row=row, fence=(), valid_until=0, is_lost=False)
        return _set(state, index, known)

    def _accept(self, state: State, index: int, view: View, found: tuple) -> State:
        """Hold the lease as of a write that was sent at some time."""
        place, row, sent_at = found
        number = (0, place[1]) if self.without == "number_by_era" else place
        valid_until = max(0, sent_at + LEASE)
        fence = view.fence or number
        accepted = view._replace(
            place=place,
            row=row,
            seen_at=sent_at,
            fence=fence,
            valid_until=valid_until,
            is_lost=False,
            is_read=True,
            sent_at=None,
            doubt=None,
        )
        state = _set(state, index, accepted)
        if not valid_until or view.fence:
            return state
        is_growing = state.is_growing and fence > state.highest
        return state._replace(highest=fence, is_growing=is_growing)

    # The store, and its answers.

    def _deliver(self, state: State, message: tuple) -> list:
        kind, index, number, row = message[:4]
        after = state._replace(net=state.net - {message})
        if kind == "write":
            return self._write(after, message)
        view, era = View(*state.views[index]), message[4]
        if view.sent_at is None or view.writes != number:
            return [(("unheard", index), after)]
        if era < view.era and self.without != "void_old_answers":
            doubted = view._replace(sent_at=None, doubt=_oldest(view), is_read=False)
            return [(("void", index), _set(after, index, doubted))]
        if kind == "conflict":
            known = self._learn_era(view, era)
            lost = known._replace(
                sent_at=None, fence=(), valid_until=0, is_read=False, is_lost=False
            )
            is_kept = known.is_lost
            lost = known if is_kept else lost
            return [(("conflict", index), _set(after, index, lost))]
        known = self._learn_era(view, era)
        if Row(*row).era < known.era and self.without != "void_old_answers":
            return [(("void", index), _set(after, index, known))]
        place = (max(era, view.era), Row(*row).version)
        found = (place, Row(*row), view.sent_at)
        return [(("written", index), self._accept(after, index, known, found))]

    def _write(self, state: State, message: tuple) -> list:
        """Carry a write out if the row has the version that it expects."""
        _, index, number, raw = message
        row, known = Row(*raw), Row(*state.row)
        if known.version != row.version:
            answer = ("conflict", index, number, (), state.era)
            return [(("refuse", index), state._replace(net=state.net | {answer}))]
        written = row._replace(version=row.version + 1)
        answer = ("written", index, number, written, state.era)
        done = state._replace(
            row=written, past=(*state.past, state.row), net=state.net | {answer}
        )
        return [(("write", index), done)]


def _oldest(view: View) -> int | None:
    """Return when the oldest write without an answer was sent."""
    return view.sent_at if view.doubt is None else view.doubt


def _count_holders(views: tuple) -> int:
    return sum(bool(view[4]) and view[5] > 0 for view in views)


def _age(moment: int | None) -> int | None:
    return None if moment is None else max(LONG_AGO, moment - 1)


def _age_row(row: Row) -> Row:
    return row._replace(stamp=_age(row.stamp))


def _age_view(view: View) -> View:
    return view._replace(
        row=_age_row(Row(*view.row)),
        seen_at=_age(view.seen_at),
        valid_until=max(0, view.valid_until - 1),
        sent_at=_age(view.sent_at),
        doubt=_age(view.doubt),
    )


def _age_message(message: tuple) -> tuple:
    if not message[3]:
        return message
    return (*message[:3], _age_row(Row(*message[3])), *message[4:])


def _pass_tick(state: State) -> State:
    """Let a tick pass everywhere."""
    return state._replace(
        row=_age_row(Row(*state.row)),
        past=tuple(_age_row(Row(*row)) for row in state.past),
        views=tuple(_age_view(View(*view)) for view in state.views),
        net=frozenset(_age_message(message) for message in state.net),
    )


def _set(state: State, index: int, view: View) -> State:
    views = list(state.views)
    views[index] = view
    return state._replace(views=tuple(views))
