"""Replay traces of the ownership specification against the real parts."""

import random
from copy import deepcopy

from roadlift.ownership.copies import CopyState
from roadlift.ownership.messages import Acquire, Census
from roadlift.ownership.orders import OrderResult
from roadlift.ownership.record import (
    EndpointProperties,
    EndpointRecord,
    OwnershipPolicy,
)
from roadlift.pins.table import PinTable
from roadlift.policy.eviction import RecencyEvictor
from specification.ownership import HOLDERS, OWNERS, Limits, Ownership, State

ENDPOINT = "engine"
FOREVER = float("inf")
MODELS = {True: "x@1", False: "y@1"}


class Declined(Exception):
    """The real code declines a step that the specification allows."""


class Replay:
    """The real books and pin tables beside the specification's state."""

    def __init__(self, fences: bool) -> None:
        self._fences = fences
        self.books: dict[int, EndpointRecord] = {}
        self.tables = {name: _make_table() for name in HOLDERS}
        self.names: dict[tuple, str] = {}
        self.messages: dict[tuple, object] = {}
        self.orders: dict[tuple, object] = {}
        self.now = 0.0
        first = self._make_book(1)
        order = self._order_load(first, "x@1")
        first.finish_order(order, OrderResult.DONE, self.now)
        self.names[(1, 1)] = order.copy

    def step(self, label: tuple, before: State) -> None:
        """Do in the real parts what a step of the specification did."""
        self.now += 1.0
        getattr(self, f"_do_{label[0]}")(label, before)

    def compare(self, state: State) -> None:
        """Assert that the real parts know and may do the same."""
        for name, holder in zip(HOLDERS, state.holders, strict=True):
            pins = {(copy, nonce) for copy, nonce, *_ in self._list_pins(name)}
            wanted = {(self.names[copy], nonce) for copy, nonce in holder.pins}
            assert pins == wanted, (name, pins, wanted)
        rules = Ownership(self._fences, Limits())
        for epoch, spec in enumerate(state.books, 1):
            if spec is not None:
                self._compare_book(self.books[epoch], spec, epoch, rules)

    def check_refusals(self, state: State, rules: Ownership) -> None:
        """Assert that the real parts refuse what the specification forbids."""
        allowed = {label for label, _ in rules.list_steps(state)}
        for name, holder in zip(HOLDERS, state.holders, strict=True):
            for message in state.net:
                label = ("accept", name, message)
                is_grant = message[0] == "grant" and message[3] == name
                if is_grant and label not in allowed:
                    table = deepcopy(self.tables[name])
                    assert table.accept(self.messages[message], self.now) is None
            for name_of_copy in holder.sent:
                table = deepcopy(self.tables[name])
                assert table.recall(ENDPOINT, self.names[name_of_copy]) is None

    def _compare_book(self, book, spec, epoch, rules) -> None:
        assert book.unproven == set(spec.unproven)
        for copy, condition in spec.copies:
            real = book.copies[self.names[copy]]
            pins = {(holder, pin.nonce) for holder, pin in real.pins.items()}
            wanted = {pin[1:] for pin in spec.pins if pin[0] == copy}
            assert pins == wanted, (epoch, pins, wanted)
            if real.state is not CopyState.LOADING:
                assert book.may_evict(real) == rules._may_evict(epoch, spec, copy)
            serves = condition == "ready" and rules._may_serve(epoch, spec, copy)
            assert book.may_serve(real) == serves, (real.name, real.state)

    def _list_pins(self, name: str) -> list:
        return self.tables[name].report(ENDPOINT).pins

    def _make_book(self, epoch: int) -> EndpointRecord:
        shape, terms = (
            EndpointProperties(self._fences, 1, 8),
            OwnershipPolicy(RecencyEvictor()),
        )
        book = EndpointRecord(ENDPOINT, OWNERS[epoch], epoch, shape, terms)
        self.books[epoch] = book
        return book

    def _order_load(self, book: EndpointRecord, model: str):
        ask = Acquire(ENDPOINT, 1, model, "standard", FOREVER, True)
        book.acquire("nobody", ask, self.now)
        order, _ = book.choose_order(self.now)
        book.waiting.remove_holder("nobody")
        return order

    # One method a label.

    def _do_ask(self, label, before) -> None:
        self.tables[label[1]].open_request(ENDPOINT, "x@1", FOREVER)

    def _do_cancel(self, label, before) -> None:
        holder = before.holders[HOLDERS.index(label[1])]
        self.tables[label[1]].cancel(holder.asking)

    def _do_grant(self, label, before) -> None:
        _, epoch, copy, name, nonce = label
        model = self.books[epoch].copies[self.names[copy]].model
        ask = Acquire(ENDPOINT, nonce, model, "standard", FOREVER, True)
        (out,) = self.books[epoch].acquire(name, ask, self.now)
        assert out.to == name and out.message.copy == self.names[copy]
        self.messages[label] = out.message

    def _do_accept(self, label, before) -> None:
        grant = self.messages[label[2]]
        assert self.tables[label[1]].accept(grant, self.now) is not None

    def _do_send(self, label, before) -> None:
        pin = self._find_pin(label[1], label[2])
        assert self.tables[label[1]].begin(pin)

    def _find_pin(self, name, copy):
        return self.tables[name]._pins.get((ENDPOINT, self.names[copy]))

    def _do_give_back(self, label, before) -> None:
        _, name, copy = label
        holder = before.holders[HOLDERS.index(name)]
        release = self.tables[name].recall(ENDPOINT, self.names[copy])
        assert release is not None
        nonce = next(n for c, n in holder.pins if c == copy)
        self.messages[("release", name, copy, nonce)] = release

    def _do_release(self, label, before) -> None:
        _, epoch, message = label
        self.books[epoch].release(message[1], self.messages[message])

    def _do_report(self, label, before) -> None:
        name = label[1]
        holder = before.holders[HOLDERS.index(name)]
        floor = holder.asking or holder.used + 1
        key = ("report", name, floor, holder.pins)
        self.messages[key] = self.tables[name].report(ENDPOINT)

    def _do_take_report(self, label, before) -> None:
        _, epoch, message = label
        report = self.messages[message]
        seen = self.books[epoch]._report_serials.get(message[1], -1)
        if report.serial <= seen:
            raise Declined("an old report is not taken twice")
        self.books[epoch].receive_report(message[1], report, self.now)

    def _do_count(self, label, before) -> None:
        _, name, epoch = label
        yielded: list[int] = []
        for own in range(1, epoch):
            if OWNERS[own] == name and before.books[own - 1] is not None:
                yielded = self.books.pop(own).yield_epoch()
        count = self.tables[name].count(Census(ENDPOINT, epoch), yielded)
        assert count is not None
        self.messages[("count", epoch, name)] = count

    def _do_take_count(self, label, before) -> None:
        _, epoch, message = label
        count = self.messages[message[:3]]
        assert set(count.yielded) == set(message[4]), (count, message)
        self.books[epoch].receive_count(message[2], count)

    def _do_unload(self, label, before) -> None:
        _, epoch, copy = label
        book = self.books[epoch]
        order = self._order_load(book, "other@1")
        if order is None or order.copy != self.names[copy]:
            raise Declined("the book has another order to give first")
        assert order.verb == "unload"
        self._keep_order(label, order, before, epoch)

    def _do_load(self, label, before) -> None:
        _, epoch, copy = label
        book = self.books[epoch]
        order = self._order_load(book, "y@1")
        if order is None or order.verb != "load":
            raise Declined("the book has another order to give first")
        self.names[copy] = order.copy
        self._keep_order(label, order, before, epoch)

    def _keep_order(self, label, order, before, epoch) -> None:
        serial = before.books[epoch - 1].serial + 1
        self.orders[(epoch, serial)] = order

    def _do_doubt(self, label, before) -> None:
        book = self.books[label[1]]
        real = self.orders[(label[1], label[2][2])]
        book.finish_order(real, OrderResult.UNKNOWN, self.now)

    def _do_result(self, label, before) -> None:
        _, epoch, message = label
        _, _, order, said = message
        real = self.orders[(epoch, order[2])]
        results = {
            "done": OrderResult.DONE,
            "no": OrderResult.REFUSED,
            "fenced": OrderResult.FENCED,
        }
        result = results[said]
        self.books[epoch].finish_order(real, result, self.now)

    def _do_reconcile(self, label, before) -> None:
        self._reconcile(label[1], before)

    def _do_step_down(self, label, before) -> None:
        self._reconcile(label[1], before)
        assert self.books[label[1]].is_superseded
        del self.books[label[1]]

    def _reconcile(self, epoch, before) -> None:
        names = [self.names[copy] for copy, _ in before.loaded]
        self.now += 1.0
        self.books[epoch].reconcile(names, self.now, self.now)

    def _do_open(self, label, before) -> None:
        _, epoch, listed = label
        book = self._make_book(epoch)
        book.open([self.names[copy] for copy in listed], self.now)
        book.confirm_membership()
        book.expect_answers(HOLDERS)
        table = self.tables[OWNERS[epoch]]
        count = table.count(Census(ENDPOINT, epoch), [])
        book.receive_count(OWNERS[epoch], count)

    def _do_prove(self, label, before) -> None:
        self.books[label[1]].remove_dead(label[2])

    def _do_crash(self, label, before) -> None:
        name = label[1]
        self.tables[name] = _make_table()
        for epoch, owner in OWNERS.items():
            if owner == name:
                self.books.pop(epoch, None)

    def _do_end(self, label, before) -> None:
        self._end(label[1], label[2])

    def _do_refused(self, label, before) -> None:
        self._end(label[1][1], label[1][2])

    def _end(self, name, copy) -> None:
        pin = self._find_pin(name, copy)
        assert self.tables[name].end(pin, self.now) is None

    def _do_restart(self, label, before) -> None:
        for name, copy in before.runs:
            self._end(name, copy)

    def _do_nothing(self, label, before) -> None:
        """Bear a step that the endpoint or the network does alone."""

    _do_applied = _do_fenced = _do_run = _do_nothing
    _do_fence = _do_list = _do_fence_again = _do_nothing


def _make_table() -> PinTable:
    """Return a table that gives no pin back by itself.

    In the specification that is a step of its own.
    """
    return PinTable(min_uses_to_keep=0)


def replay_walks(fences: bool, limits: Limits, walks: int, seed: int) -> dict:
    """Walk at random through the specification beside the real parts.

    Returns counts of the steps, of the walks and of the declined steps.
    """
    rng = random.Random(seed)
    rules = Ownership(fences, limits)
    counts = {"steps": 0, "walks": 0, "declined": 0, "labels": set()}
    for _ in range(walks):
        state, real = rules.make_initial(), Replay(fences)
        counts["walks"] += 1
        for _ in range(60):
            # In one order whatever order sets have in this process: with
            # another a walk is another, and 300 may miss a broken rule.
            steps = sorted(rules.list_steps(state), key=lambda step: repr(step[0]))
            if not steps:
                break
            label, after = rng.choice(steps)
            try:
                real.step(label, state)
            except Declined:
                counts["declined"] += 1
                break
            state = after
            real.compare(state)
            real.check_refusals(state, rules)
            counts["steps"] += 1
            counts["labels"].add(label[0])
    return counts
