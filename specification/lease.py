"""Specify the lease under which one instance orders a zone's engines.

Two instances meet one row of the store and one engine. A write may take
effect late or lose its answer; an instance may stand still at any moment; an
order may be on its way for a tick. In the variant ``doubts`` holders renew
their leases and answers are lost; in ``returns`` they give them back instead;
in ``restarts`` the first instance has just come back to its lease and may
restart once. Times are in
ticks from now, and those that are too long ago to matter are all the same, so
that no end of time has to be set. The engine does not look at fencing numbers:
what is proved is that the numbers only grow all the same, and that no instance
orders again within a while behind which the other did.
"""

from typing import NamedTuple

from minicheck import Protocol

LEASE = 2  # Ticks that a renewal holds.
# Ticks between two orders of an instance with another's between. Where leases
# are given back it is more than two changes of holder take, or the rule for it
# would never show.
TURN = {"doubts": 2, "returns": 5, "restarts": 5}
STALE = 2  # Ticks by which a wrong estimate of the store's time is late.
TRANSIT = 1  # Ticks that an order is on its way at most.
# Ticks until all orders of a holder before have arrived, those of the last
# tick included.
SETTLED = TRANSIT + 1
# Ticks; older times are kept as these, as none asks for more.
STAMP_LONG_AGO = -(LEASE + SETTLED)
LONG_AGO = -max(TURN.values()) - TRANSIT
MOST_SENT = -2  # Ticks; how long ago a write in doubt was sent at most.
VARIANTS = ("doubts", "returns", "restarts")
# Writes of the first holder, and of the other instance.
MOST_WRITES = {"doubts": (2, 1), "returns": (2, 2), "restarts": (2, 1)}
RULES = (
    "count_from_send",
    "stamp_from_send",
    "wait_expired",
    "await_transit",
    "oldest_doubt",
    "number_by_version",
    "read_after_doubt",
    "quiet_on_return",
    "keep_quiet",
)
# The variants in which the loss of a rule shows, where it is not the first.
SHOWN_IN = {"quiet_on_return": "returns", "keep_quiet": "restarts"}


class Row(NamedTuple):
    """The row: who wrote it, and when on the store's own clock.

    ``process`` counts the restarts of the owner before; ``stamp`` is when the
    write was sent, which the writer knows only as not later than it writes;
    ``former`` are the ends of both instances' terms before this one;
    ``orders_from`` is when the owner begins to give orders.
    """

    version: int = 1
    owner: int = 0
    process: int = 0
    stamp: int = 0
    is_released: bool = False
    former: tuple = (LONG_AGO, LONG_AGO)
    orders_from: int = 0


class View(NamedTuple):
    """What one instance believes; ``row`` is as it was read or written last.

    ``planned`` is when it gives orders if its write takes effect; ``sent_at``
    and ``doubt`` are of writes without an answer, or None; ``writes`` counts
    them; ``process`` counts its restarts.
    """

    row: tuple = Row(version=-1)
    fence: int = 0
    valid_until: int = 0
    orders_from: int = 0
    planned: int = 0
    sent_at: int | None = None
    doubt: int | None = None
    is_read: bool = False
    writes: int = 0
    process: int = 0


HOLDER = View(row=Row(), fence=1, valid_until=LEASE, is_read=True)


class State(NamedTuple):
    """The row, the instances, the messages and the orders that arrived.

    ``arrived`` are when the last order of each came; ``last`` whose was last.
    """

    row: tuple = Row()
    views: tuple = (HOLDER, View())
    net: frozenset = frozenset()
    arrived: tuple = (LONG_AGO, LONG_AGO)
    last: int = -1
    highest: int = 0
    is_turning: bool = False
    is_growing: bool = True


def make_initial(variant: str) -> State:
    """Return the state in which a variant begins."""
    if variant != "restarts":
        return State()
    wait = TURN[variant] + TRANSIT
    row = Row(version=3, former=(0, 0), orders_from=wait)
    holder = HOLDER._replace(row=row, fence=3, orders_from=wait, planned=wait)
    return State(row=row, views=(holder, View()), arrived=(0, 0), last=1, highest=2)


class Leases:
    """The steps of the specification, with some rules removed."""

    def __init__(self, variant: str = "doubts", without: str = "") -> None:
        self.variant = variant
        self.without = without
        self.turn = TURN[variant]
        self.oldest_end = -(self.turn + TRANSIT)

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        return Protocol(
            name="lease",
            candidate=False,
            fields=State._fields,
            initial=make_initial(self.variant),
            transitions=lambda raw: self.list_steps(State(*raw)),
            invariants={
                "holders_take_no_turns": lambda fields: not fields["is_turning"],
                "numbers_only_grow": lambda fields: fields["is_growing"],
            },
        )

    def list_steps(self, state: State) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        steps = self._list_ticks(state)
        for index, raw in enumerate(state.views):
            steps += self._list_view_steps(state, index, View(*raw))
        for message in state.net:
            steps += self._list_deliveries(state, message)
        return steps

    def _list_ticks(self, state: State) -> list:
        """Let time pass, unless an order has been on its way for long."""
        orders = [message for message in state.net if message[0] == "order"]
        if any(-message[3] >= TRANSIT for message in orders):
            return []
        passed = state._replace(
            row=self._age_row(Row(*state.row)),
            views=tuple(self._age(View(*raw)) for raw in state.views),
            net=frozenset(self._age_message(message) for message in state.net),
            arrived=tuple(max(-self.turn, at - 1) for at in state.arrived),
        )
        return [] if passed == state else [(("tick",), passed)]

    # An instance.

    def _list_view_steps(self, state: State, index: int, view: View) -> list:
        steps = []
        may_write = self._may_write(view, index)
        if view.sent_at is None:
            steps.append((("read", index), self._read(state, index, view)))
            if may_write and not (view.fence and self.variant == "returns"):
                steps.append((("send", index), self._send(state, index, view)))
        elif self.variant == "doubts":
            steps.append((("give_up", index), self._give_up(state, index, view)))
        if self.variant == "returns" and may_write and view.fence:
            steps.append((("release", index), self._release(state, index, view)))
        if self.variant == "restarts" and index == 0 and not view.process:
            steps.append((("restart", index), _restart(state, index, view)))
        is_under_way = any(one[:2] == ("order", index) for one in state.net)
        if view.fence and view.orders_from <= 0 < view.valid_until:
            order = ("order", index, view.fence, 0)
            after = state._replace(net=state.net | {order})
            if not is_under_way:
                steps.append((("order", index), after))
        return steps

    def _may_write(self, view: View, index: int) -> bool:
        if not view.is_read or view.writes >= MOST_WRITES[self.variant][index]:
            return False
        row = Row(*view.row)
        is_predecessor = row.owner == index and row.process != view.process
        if view.fence or row.is_released or is_predecessor:
            return True
        return -row.stamp >= LEASE or self.without == "wait_expired"

    def _send(self, state: State, index: int, view: View) -> State:
        """Renew the lease, or take it."""
        row = Row(*view.row)
        planned = view.planned if view.fence else self._plan(row, index)
        former = row.former
        if not view.fence and row.owner != index:
            ended_at = row.stamp + (0 if row.is_released else LEASE)
            former = _replace_at(former, row.owner, max(self.oldest_end, ended_at))
        # Without the rule the store's time is taken from an old answer.
        stamp = -STALE if self.without == "stamp_from_send" else 0
        written = Row(row.version, index, view.process, stamp, False, former, planned)
        sent = view._replace(sent_at=0, writes=view.writes + 1, planned=planned)
        write = ("write", index, sent.writes, written)
        return _set(state._replace(net=state.net | {write}), index, sent)

    def _plan(self, row: Row, index: int) -> int:
        """Return when a taker of a row gives its first order."""
        if row.owner == index:
            kept = 0 if self.without == "keep_quiet" else row.orders_from
            return max(SETTLED, kept)
        # The holder before gave its last order before its lease was over.
        ended_at = row.stamp + (0 if row.is_released else LEASE)
        planned = max(0, SETTLED + min(0, ended_at))
        if self.without == "await_transit":
            planned = 0
        if row.former[index] > self.oldest_end and self.without != "quiet_on_return":
            planned = max(planned, row.former[index] - self.oldest_end)
        return planned

    def _release(self, state: State, index: int, view: View) -> State:
        """Give the lease back; nobody waits for the answer."""
        row = Row(*view.row)._replace(stamp=0, is_released=True)
        released = view._replace(
            fence=0, valid_until=0, writes=view.writes + 1, is_read=False
        )
        write = ("write", index, released.writes, row)
        return _set(state._replace(net=state.net | {write}), index, released)

    def _give_up(self, state: State, index: int, view: View) -> State:
        """Take a write as in doubt; it may still take effect."""
        doubt = view.sent_at if view.doubt is None else view.doubt
        if self.without == "oldest_doubt":
            doubt = view.sent_at
        if self.without == "read_after_doubt" and view.fence:
            # Count the write as done, and go on without reading.
            done = view._replace(sent_at=None, valid_until=view.sent_at + LEASE)
            return _set(_forget_answers(state, index), index, done)
        given_up = view._replace(sent_at=None, doubt=doubt, is_read=False)
        return _set(_forget_answers(state, index), index, given_up)

    def _read(self, state: State, index: int, view: View) -> State:
        row = Row(*state.row)
        view = view._replace(is_read=True)
        if Row(*view.row).version == row.version:
            return _set(state, index, view)
        is_own = (row.owner, row.process) == (index, view.process)
        if is_own and not row.is_released and view.doubt is not None:
            return _set(state, index, self._accept(view, row, view.doubt))
        fresh = View(
            row=row,
            doubt=view.doubt,
            is_read=True,
            writes=view.writes,
            process=view.process,
        )
        return _set(state, index, fresh)

    def _accept(self, view: View, row: Row, sent_at: int) -> View:
        """Hold the lease as of a write that was sent at ``sent_at``."""
        counted = 0 if self.without == "count_from_send" else sent_at
        accepted = view._replace(
            row=row._replace(stamp=sent_at),
            valid_until=counted + LEASE,
            sent_at=None,
            doubt=None,
            is_read=True,
        )
        if view.fence:
            return accepted
        fence = 1 if self.without == "number_by_version" else row.version
        return accepted._replace(fence=fence, orders_from=view.planned)

    # The store and the engine.

    def _list_deliveries(self, state: State, message: tuple) -> list:
        after = state._replace(net=state.net - {message})
        kind, index = message[0], message[1]
        if kind == "write":
            return self._list_writes(after, message)
        if kind == "order":
            return [(("arrive", index), self._arrive(after, message))]
        view = View(*state.views[index])
        if kind == "written":
            accepted = self._accept(view, Row(*message[3]), view.sent_at)
            return [(("written", index), _set(after, index, accepted))]
        lost = view._replace(sent_at=None, fence=0, valid_until=0, is_read=False)
        return [(("conflict", index), _set(after, index, lost))]

    def _list_writes(self, state: State, message: tuple) -> list:
        _, index, number, raw = message
        row, view = Row(*raw), View(*state.views[index])
        is_own = row.process == view.process
        is_awaited = is_own and view.sent_at is not None and view.writes == number
        if Row(*state.row).version != row.version:
            if not is_awaited:
                return [(("refuse", index), state)]
            answer = ("conflict", index, number, ())
            return [(("refuse", index), state._replace(net=state.net | {answer}))]
        row = row._replace(version=row.version + 1)
        done = state._replace(row=row)
        if not is_awaited:
            return [(("write_late", index), done)]
        # An answer that is given up before it comes was lost.
        answer = ("written", index, number, row)
        return [(("write", index), done._replace(net=done.net | {answer}))]

    def _arrive(self, state: State, message: tuple) -> State:
        _, index, fence, _ = message
        is_other = state.last not in (-1, index)
        is_turn = is_other and state.arrived[index] > -self.turn
        is_shared = is_other and fence == state.highest
        is_growing = fence >= state.highest and not is_shared
        return state._replace(
            arrived=_replace_at(state.arrived, index, 0),
            last=index,
            highest=max(fence, state.highest),
            is_turning=state.is_turning or is_turn,
            is_growing=state.is_growing and is_growing,
        )

    # The passing of time.

    def _age_row(self, row: Row) -> Row:
        """Return a row one tick later."""
        return row._replace(
            stamp=max(STAMP_LONG_AGO, row.stamp - 1),
            former=tuple(max(self.oldest_end, at - 1) for at in row.former),
            orders_from=max(0, row.orders_from - 1),
        )

    def _age(self, view: View) -> View:
        """Return a view one tick later."""
        doubt, sent_at = view.doubt, view.sent_at
        return view._replace(
            row=self._age_row(Row(*view.row)),
            valid_until=max(0, view.valid_until - 1),
            orders_from=max(0, view.orders_from - 1),
            planned=max(0, view.planned - 1),
            sent_at=None if sent_at is None else max(MOST_SENT, sent_at - 1),
            doubt=None if doubt is None else max(MOST_SENT, doubt - 1),
        )

    def _age_message(self, message: tuple) -> tuple:
        """Return a message one tick later; a conflict carries no time."""
        if message[0] == "order":
            return (*message[:3], message[3] - 1)
        if message[0] in ("write", "written"):
            return (*message[:3], self._age_row(Row(*message[3])))
        return message


def _restart(state: State, index: int, view: View) -> State:
    """Begin anew; what the process before sent is still on its way."""
    anew = View(writes=view.writes, process=view.process + 1)
    return _set(_forget_answers(state, index), index, anew)


def _replace_at(values: tuple, index: int, value: int) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _forget_answers(state: State, index: int) -> State:
    """Drop the answers to writes that an instance has given up."""
    kept = (
        message
        for message in state.net
        if message[1] != index or message[0] not in ("written", "conflict")
    )
    return state._replace(net=frozenset(kept))


def _set(state: State, index: int, view: View) -> State:
    views = list(state.views)
    views[index] = view
    return state._replace(views=tuple(views))
