"""Specify ownership, fences, pins and evictions at one endpoint.

Two owning processes, ``p`` and ``q``, and a holder ``h`` share an endpoint
with one slot. ``p`` owns it in epoch 1, ``q`` takes over in epoch 2 and ``p``
may again in epoch 3, at any moment and also in error. A process that is
paused is one whose steps do not happen for a while, so that every step may
come as late as any. Messages between instances stay in the network once
sent: they may come late, twice, in any order or never. An order or request
to the endpoint comes at most once, at any time, and its answer may be lost.
"""

from typing import NamedTuple

from minicheck import Protocol

HOLDERS = ("p", "q", "h")
OWNERS = {1: "p", 2: "q", 3: "p"}
READY, DOUBTFUL = "ready", "doubtful"

# The rules that can be removed, by the names that the code gives them.
RULES = (
    "evict_unpinned",
    "evict_proven",
    "adopt_fenced",
    "name_once",
    "return_idle",
    "accept_asked",
    "accept_epoch",
    "pins_last",
    "fence_orders",
    "step_down",
    "adopt_once",
    "yield_certain",
    "same_incarnation",
    "newest_pin",
)


class CopyName(NamedTuple):
    """A copy's name: the epoch and serial of its load."""

    epoch: int
    serial: int


class Book(NamedTuple):
    """What an owner knows in its epoch."""

    copies: frozenset = frozenset()  # (name, state)
    pins: frozenset = frozenset()  # (name, holder, nonce)
    unproven: frozenset = frozenset()
    yielded: frozenset = frozenset()
    orders: frozenset = frozenset()  # (verb, name, serial)
    serial: int = 0
    in_doubt: bool = False  # an answer to an order was lost
    is_superseded: bool = False  # an order met a higher fencing number


class Holder(NamedTuple):
    """What a process holds: pins, runs and its open asking."""

    asking: int = 0
    used: int = 0
    epoch: int = 0
    pins: frozenset = frozenset()  # (name, nonce)
    sent: frozenset = frozenset()  # names that a request was sent to


class State(NamedTuple):
    """The endpoint, the books by epoch, the processes and the network."""

    loaded: frozenset  # (name, model)
    fence: int
    runs: frozenset  # (holder, name)
    broken: str
    books: tuple  # by epoch; None is closed
    opened: int  # the highest epoch that was opened
    holders: tuple
    net: frozenset
    crashed: frozenset
    restarts: int


class Limits(NamedTuple):
    """How much may happen on one path, which bounds the exploration."""

    epochs: int = 2
    askings: tuple = (1, 1, 1)
    orders: int = 2  # orders that one owner gives in one epoch
    crashes: int = 1
    restarts: int = 0
    reports: bool = False


def _set_book(state: State, epoch: int, book: Book | None) -> State:
    books = list(state.books)
    books[epoch - 1] = book
    return state._replace(books=tuple(books))


def _set_holder(state: State, name: str, holder: Holder) -> State:
    holders = list(state.holders)
    holders[HOLDERS.index(name)] = holder
    return state._replace(holders=tuple(holders))


def _send(state: State, message: tuple) -> State:
    return state._replace(net=state.net | {message})


class Ownership:
    """The steps of the specification, with some rules removed."""

    def __init__(self, fences: bool, limits: Limits, without: str = "") -> None:
        self.fences = fences
        self.limits = limits
        self.without = without

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        names = ("never_evicted_while_running", "exact_adapter_and_version")
        return Protocol(
            name="ownership",
            candidate=False,
            fields=State._fields,
            initial=self.make_initial(),
            transitions=lambda raw: self.list_steps(State(*raw)),
            invariants={
                name: lambda fields, name=name: fields["broken"] != name
                for name in names
            },
        )

    def make_initial(self) -> State:
        """Return the start: ``p`` owns the endpoint and has loaded a copy."""
        first = CopyName(1, 1)
        book = Book(copies=frozenset({(first, READY)}))
        books = (book,) + (None,) * (self.limits.epochs - 1)
        return State(
            loaded=frozenset({(first, "x")}),
            fence=10,
            runs=frozenset(),
            broken="",
            books=books,
            opened=1,
            holders=(Holder(),) * len(HOLDERS),
            net=frozenset(),
            crashed=frozenset(),
            restarts=0,
        )

    def list_steps(self, state: State) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        if state.broken:
            return []
        steps: list[tuple] = []
        for name, holder in zip(HOLDERS, state.holders, strict=True):
            if name not in state.crashed:
                steps += self._list_holder_steps(state, name, holder)
        for epoch, book in enumerate(state.books, 1):
            if book is not None:
                steps += self._list_owner_steps(state, epoch, book)
        steps += self._list_takeover_steps(state)
        steps += self._list_endpoint_steps(state)
        steps += self._list_faults(state)
        return steps

    # Holders.

    def _list_holder_steps(self, state: State, name: str, holder: Holder) -> list:
        steps = []
        most = self.limits.askings[HOLDERS.index(name)]
        if not holder.asking and holder.used < most:
            asked = holder._replace(asking=holder.used + 1, used=holder.used + 1)
            steps.append((("ask", name), _set_holder(state, name, asked)))
        if holder.asking and self.limits.reports:
            cancelled = holder._replace(asking=0)
            steps.append((("cancel", name), _set_holder(state, name, cancelled)))
        for copy, nonce in holder.pins:
            steps += self._list_pin_steps(state, name, holder, copy, nonce)
        for message in state.net:
            steps += self._list_heard_steps(state, name, holder, message)
        if self.limits.reports and not any(
            m[0] == "report" and m[1] == name for m in state.net
        ):
            floor = holder.asking or holder.used + 1
            message = ("report", name, floor, holder.pins)
            steps.append((("report", name), _send(state, message)))
        return steps

    def _list_pin_steps(self, state, name, holder, copy, nonce) -> list:
        steps = []
        busy = copy in holder.sent
        if not busy:
            sent = holder._replace(sent=holder.sent | {copy})
            after = _send(_set_holder(state, name, sent), ("run", name, copy))
            steps.append((("send", name, copy), after))
        if not busy or self.without == "return_idle":
            given = holder._replace(pins=holder.pins - {(copy, nonce)})
            after = _set_holder(state, name, given)
            message = ("release", name, copy, nonce)
            steps.append((("give_back", name, copy), _send(after, message)))
        return steps

    def _list_heard_steps(self, state, name, holder, message) -> list:
        kind = message[0]
        if kind == "grant" and message[3] == name:
            return self._accept(state, name, holder, message)
        if kind == "census" and OWNERS[message[1]] != name:
            return self._count(state, name, holder, message[1])
        return []

    def _accept(self, state, name, holder, message) -> list:
        _, epoch, copy, _, nonce = message
        asked = holder.asking == nonce or self.without == "accept_asked"
        current = epoch >= holder.epoch or self.without == "accept_epoch"
        if not (asked and current) or (copy, nonce) in holder.pins:
            return []
        others = frozenset(pin for pin in holder.pins if pin[0] != copy)
        pinned = holder._replace(asking=0, pins=others | {(copy, nonce)})
        return [(("accept", name, message), _set_holder(state, name, pinned))]

    def _count(self, state, name, holder, epoch) -> list:
        """Answer a census; a lower book of this process is closed by it."""
        if epoch <= holder.epoch:
            return []
        after = _set_holder(state, name, holder._replace(epoch=epoch))
        yielded: frozenset = frozenset()
        for own in range(1, epoch):
            book = state.books[own - 1]
            if OWNERS[own] == name and book is not None:
                doubtful = book.orders or any(s != READY for _, s in book.copies)
                doubtful = doubtful or book.in_doubt
                if not doubtful or self.without == "yield_certain":
                    yielded = book.yielded | {own}
                after = _set_book(after, own, None)
        message = ("count", epoch, name, holder.pins, yielded)
        return [(("count", name, epoch), _send(after, message))]

    # Owners.

    def _list_owner_steps(self, state: State, epoch: int, book: Book) -> list:
        steps = []
        for copy, condition in book.copies:
            if condition == READY and self._may_serve(epoch, book, copy):
                steps += self._list_grants(state, epoch, book, copy)
        if book.serial < self.limits.orders and not book.is_superseded:
            steps += self._list_orders(state, epoch, book)
        steps += [self._lose_answer(state, epoch, book, order) for order in book.orders]
        for message in state.net:
            steps += self._list_owner_heard(state, epoch, book, message)
        for dead in state.crashed:
            if dead in book.unproven or any(pin[1] == dead for pin in book.pins):
                proved = self._remove(book, dead)
                after = _set_book(state, epoch, proved)
                steps.append((("prove", epoch, dead), after))
        steps += self._reconcile(state, epoch, book)
        return steps

    def _may_serve(self, epoch: int, book: Book, copy: CopyName) -> bool:
        if copy.epoch == epoch or self.without == "adopt_fenced":
            return True
        return self.fences or copy.epoch in book.yielded

    def _may_evict(self, epoch: int, book: Book, copy: CopyName) -> bool:
        pinned = any(pin[0] == copy for pin in book.pins)
        if pinned and self.without != "evict_unpinned":
            return False
        inherited = copy.epoch != epoch
        return not (inherited and book.unproven and self.without != "evict_proven")

    def _list_grants(self, state, epoch, book, copy) -> list:
        steps = []
        for name, holder in zip(HOLDERS, state.holders, strict=True):
            for nonce in range(1, holder.used + 1):
                known = [p for p in book.pins if p[0] == copy and p[1] == name]
                if any(pin[2] >= nonce for pin in known):
                    continue
                pins = (book.pins - set(known)) | {(copy, name, nonce)}
                after = _set_book(state, epoch, book._replace(pins=pins))
                message = ("grant", epoch, copy, name, nonce)
                steps.append(
                    (("grant", epoch, copy, name, nonce), _send(after, message))
                )
        return steps

    def _list_orders(self, state, epoch, book) -> list:
        steps = []
        serial = book.serial + 1
        ordered = {name for _, name, _ in book.orders}
        for copy, condition in book.copies:
            if copy in ordered or not self._may_evict(epoch, book, copy):
                continue
            copies = (book.copies - {(copy, condition)}) | {(copy, DOUBTFUL)}
            order = ("unload", copy, serial)
            label = ("unload", epoch, copy)
            steps.append(self._order(state, epoch, book, label, copies, order))
        loads = sum(verb == "load" for verb, _, _ in book.orders)
        if len(book.copies) <= loads and loads < 2:
            name = CopyName(epoch, 1 if self.without == "name_once" else serial + 1)
            order = ("load", name, serial)
            copies = book.copies | {(name, DOUBTFUL)}
            label = ("load", epoch, name)
            steps.append(self._order(state, epoch, book, label, copies, order))
        return steps

    def _order(self, state, epoch, book, label, copies, order) -> tuple:
        moved = book._replace(
            copies=copies, orders=book.orders | {order}, serial=book.serial + 1
        )
        model = "y" if order[0] == "load" else ""
        after = _set_book(state, epoch, moved)
        return (label, _send(after, ("order", epoch, order, model)))

    def _lose_answer(self, state, epoch, book, order) -> tuple:
        """Give an order up as in doubt; it may still take effect later."""
        answers = {m for m in state.net if m[:3] == ("result", epoch, order)}
        after = state._replace(net=state.net - answers)
        doubted = book._replace(orders=book.orders - {order}, in_doubt=True)
        return (("doubt", epoch, order), _set_book(after, epoch, doubted))

    def _list_owner_heard(self, state, epoch, book, message) -> list:
        kind = message[0]
        if kind == "release":
            return self._take_release(state, epoch, book, message)
        if kind == "report":
            return self._take_report(state, epoch, book, message)
        if kind == "count" and message[1] == epoch:
            return self._take_count(state, epoch, book, message)
        if kind == "result" and message[1] == epoch:
            return self._take_result(state, epoch, book, message)
        return []

    def _take_release(self, state, epoch, book, message) -> list:
        _, name, copy, nonce = message
        gone = {p for p in book.pins if p[:2] == (copy, name) and p[2] <= nonce}
        if not gone:
            return []
        after = _set_book(state, epoch, book._replace(pins=book.pins - gone))
        return [(("release", epoch, message), after)]

    def _take_report(self, state, epoch, book, message) -> list:
        _, name, floor, held = message
        kept = frozenset(p for p in book.pins if p[1] != name or p[2] >= floor)
        pins = self._note_pins(kept, name, held)
        if pins == book.pins:
            return []
        after = _set_book(state, epoch, book._replace(pins=pins))
        return [(("take_report", epoch, message), after)]

    def _take_count(self, state, epoch, book, message) -> list:
        _, _, name, held, yielded = message
        if name not in book.unproven:
            return []
        counted = book._replace(
            pins=self._note_pins(book.pins, name, held),
            unproven=book.unproven - {name},
            yielded=book.yielded | yielded,
        )
        return [(("take_count", epoch, message), _set_book(state, epoch, counted))]

    def _note_pins(self, pins: frozenset, name: str, held: frozenset) -> frozenset:
        """Add a holder's pins; a newer grant may be on its way to it."""
        for copy, nonce in held:
            known = {pin for pin in pins if pin[:2] == (copy, name)}
            newest = max([nonce, *(pin[2] for pin in known)])
            if self.without == "newest_pin":
                newest = nonce
            pins = (pins - known) | {(copy, name, newest)}
        return pins

    def _take_result(self, state, epoch, book, message) -> list:
        _, _, order, result = message
        after = state._replace(net=state.net - {message})
        verb, copy, _ = order
        copies = frozenset(pair for pair in book.copies if pair[0] != copy)
        if verb == "load" and result == "done":
            copies = copies | {(copy, READY)}
        is_fenced = result == "fenced"
        if verb == "unload" and is_fenced:
            copies = book.copies
        superseded = book.is_superseded or is_fenced
        orders = book.orders - {order}
        finished = book._replace(orders=orders, copies=copies, is_superseded=superseded)
        return [(("result", epoch, message), _set_book(after, epoch, finished))]

    def _remove(self, book: Book, dead: str) -> Book:
        pins = frozenset(pin for pin in book.pins if pin[1] != dead)
        return book._replace(pins=pins, unproven=book.unproven - {dead})

    def _reconcile(self, state, epoch, book) -> list:
        """Take what the endpoint lists, but for copies with an order."""
        ordered = {name for _, name, _ in book.orders}
        listed = {name for name, _ in state.loaded}
        known = {name for name, _ in book.copies}
        if any(name.epoch > epoch for name in listed) and self.without != "step_down":
            return [(("step_down", epoch), _set_book(state, epoch, None))]
        copies = {p for p in book.copies if p[0] in listed or p[0] in ordered}
        found = READY if self.without == "adopt_once" else DOUBTFUL
        for name in listed - known:
            copies.add((name, found))
        if copies == book.copies:
            return []
        after = _set_book(state, epoch, book._replace(copies=frozenset(copies)))
        return [(("reconcile", epoch), after)]

    # Takeovers.

    def _list_takeover_steps(self, state: State) -> list:
        """Begin the next epoch: raise the fence and ask for the list."""
        steps = []
        epoch = state.opened + 1
        if epoch <= self.limits.epochs:
            owner = OWNERS[epoch]
            is_free = not any(
                book is not None and OWNERS[own] == owner
                for own, book in enumerate(state.books, 1)
            )
            if owner not in state.crashed and is_free:
                steps.append(self._fence(state, epoch))
        for message in state.net:
            if OWNERS.get(message[1]) in state.crashed:
                continue
            if message[0] == "fenced":
                steps.append(self._list(state, message))
            elif message[0] == "list":
                steps.append(self._open(state, message))
        return steps

    def _fence(self, state: State, epoch: int) -> tuple:
        fence = epoch * 10 if self.fences else state.fence
        after = state._replace(opened=epoch, fence=max(fence, state.fence))
        message = ("fenced", epoch, state.restarts)
        return (("fence", epoch), _send(after, message))

    def _list(self, state: State, message: tuple) -> tuple:
        """Take the list; after a restart since the fence, begin again."""
        _, epoch, restarts = message
        after = state._replace(net=state.net - {message})
        if restarts != state.restarts and self.without != "same_incarnation":
            return (("fence_again", epoch), self._fence(after, epoch)[1])
        listed = frozenset(name for name, _ in state.loaded)
        return (("list", epoch, listed), _send(after, ("list", epoch, listed)))

    def _open(self, state: State, message: tuple) -> tuple:
        _, epoch, listed = message
        owner = OWNERS[epoch]
        holder = state.holders[HOLDERS.index(owner)]
        book = Book(
            copies=frozenset((name, READY) for name in listed),
            pins=frozenset((name, owner, nonce) for name, nonce in holder.pins),
            unproven=frozenset(HOLDERS) - {owner},
        )
        after = state._replace(net=state.net - {message})
        after = _set_holder(after, owner, holder._replace(epoch=epoch))
        after = _send(_set_book(after, epoch, book), ("census", epoch))
        return (("open", epoch, listed), after)

    # The endpoint.

    def _list_endpoint_steps(self, state: State) -> list:
        steps = []
        for message in state.net:
            if message[0] == "order":
                steps.append(self._apply_order(state, message))
            elif message[0] == "run":
                steps.append(self._begin_run(state, message))
        for name, copy in state.runs:
            steps.append(self._end_run(state, name, copy))
        return steps

    def _apply_order(self, state: State, message: tuple) -> tuple:
        _, epoch, order, model = message
        verb, copy, _ = order
        fence = epoch * 10
        after = state._replace(net=state.net - {message})
        book = state.books[epoch - 1]
        is_awaited = book is not None and order in book.orders
        is_old = self.fences and fence < state.fence
        if is_old and self.without != "fence_orders":
            after = self._answer(after, message, "fenced", is_awaited)
            return (("fenced", message), after)
        if self.fences:
            after = after._replace(fence=max(fence, state.fence))
        result = "no"
        if verb == "unload":
            after = self._unload(after, copy)
            result = "done"
        elif not state.loaded:
            after = after._replace(loaded=state.loaded | {(copy, model)})
            result = "done"
        return (("applied", message), self._answer(after, message, result, is_awaited))

    def _answer(self, state, message, result, is_awaited) -> State:
        """Answer an order, if its owner still waits for that."""
        _, epoch, order, _ = message
        return _send(state, ("result", epoch, order, result)) if is_awaited else state

    def _unload(self, state: State, copy: CopyName) -> State:
        loaded = frozenset(pair for pair in state.loaded if pair[0] != copy)
        if any(run[1] == copy for run in state.runs):
            return state._replace(loaded=loaded, broken="never_evicted_while_running")
        return state._replace(loaded=loaded)

    def _begin_run(self, state: State, message: tuple) -> tuple:
        _, name, copy = message
        after = state._replace(net=state.net - {message})
        model = dict(state.loaded).get(copy)
        if model is None:
            # Refused by name: it truly did not run, and the pin is dropped.
            holder = after.holders[HOLDERS.index(name)]
            refused = holder._replace(sent=holder.sent - {copy})
            return (("refused", message), _set_holder(after, name, refused))
        after = after._replace(runs=after.runs | {(name, copy)})
        wanted = "x" if copy == CopyName(1, 1) else "y"
        if model != wanted:
            after = after._replace(broken="exact_adapter_and_version")
        return (("run", message), after)

    def _end_run(self, state: State, name: str, copy: CopyName) -> tuple:
        holder = state.holders[HOLDERS.index(name)]
        after = state._replace(runs=state.runs - {(name, copy)})
        ended = holder._replace(sent=holder.sent - {copy})
        return (("end", name, copy), _set_holder(after, name, ended))

    # Faults.

    def _list_faults(self, state: State) -> list:
        steps = []
        if len(state.crashed) < self.limits.crashes:
            for name in HOLDERS:
                if name not in state.crashed:
                    steps.append(self._crash(state, name))
        if state.restarts < self.limits.restarts:
            steps.append(self._restart(state))
        if self.without == "pins_last":
            steps += self._list_lapses(state)
        return steps

    def _crash(self, state: State, name: str) -> tuple:
        """End a process; the endpoint cancels what its connections ran."""
        after = _set_holder(state, name, Holder())
        for epoch, owner in OWNERS.items():
            if owner == name and epoch <= self.limits.epochs:
                after = _set_book(after, epoch, None)
        net = frozenset(m for m in after.net if not (m[0] == "run" and m[1] == name))
        runs = frozenset(run for run in after.runs if run[0] != name)
        crashed = after.crashed | {name}
        after = after._replace(net=net, runs=runs, crashed=crashed)
        return (("crash", name), after)

    def _restart(self, state: State) -> tuple:
        """Restart the endpoint: copies, runs and fence are lost."""
        after = state
        for name, copy in state.runs:
            after = self._end_run(after, name, copy)[1]
        after = after._replace(loaded=frozenset(), fence=0, restarts=state.restarts + 1)
        return (("restart",), after)

    def _list_lapses(self, state: State) -> list:
        """Let pins lapse at the owner, as leases would."""
        steps = []
        for epoch, book in enumerate(state.books, 1):
            if book is not None and book.pins:
                lapsed = book._replace(pins=frozenset())
                steps.append((("lapse", epoch), _set_book(state, epoch, lapsed)))
        return steps
