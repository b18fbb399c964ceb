"""Specify the head of the bundles and their spreading.

Two operators roll at once against the head row; two instances hear of heads
by stale reads and late, doubled and reordered messages from each other, and
one may be replaced by an empty one.
"""

from typing import NamedTuple

from minicheck import Protocol

MOST_NUMBER = 3
RULES = ("compare_and_set", "head_grows")


class Bundle(NamedTuple):
    """A bundle: its number, who rolled it, and its parent's roller."""

    number: int
    by: str
    parent: str


FIRST = Bundle(0, "", "")


class State(NamedTuple):
    """The head row, the operators, the instances and the messages."""

    head: Bundle
    rolled: frozenset
    operators: tuple  # the head that each proposed against, or None
    instances: tuple  # the bundles in force, in order, of each
    net: frozenset  # bundles that a message or a stale read may bring
    broken: str


class Bundles:
    """The steps of the specification, with some rules removed."""

    def __init__(self, without: str = "") -> None:
        self.without = without

    def make_protocol(self) -> Protocol:
        """Return the specification for the checker."""
        initial = State(
            FIRST, frozenset(), (None, None), ((FIRST,), (FIRST,)), frozenset(), ""
        )
        return Protocol(
            name="bundles",
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=lambda raw: self.list_steps(State(*raw)),
            invariants={
                "accepted_bundle_never_reverts": lambda f: f["broken"] != "reverted",
                "one_bundle_for_a_number": lambda f: f["broken"] != "two_bundles",
                "instances_agree": lambda f: _agree(f["instances"]),
            },
        )

    def list_steps(self, state: State) -> list[tuple]:
        """Return every step from a state as (label, next state)."""
        if state.broken:
            return []
        steps: list[tuple] = []
        for index, proposed in enumerate(state.operators):
            steps += self._list_operator_steps(state, index, proposed)
        for index, known in enumerate(state.instances):
            for bundle in state.net:
                steps += self._list_heard(state, index, known, bundle)
            if len(known) > 1:
                fresh = _set(state.instances, index, (FIRST,))
                steps.append((("replace", index), state._replace(instances=fresh)))
        return steps

    def _list_operator_steps(self, state, index, proposed) -> list:
        if proposed is None:
            if state.head.number >= MOST_NUMBER:
                return []
            operators = _set(state.operators, index, state.head)
            return [(("propose", index), state._replace(operators=operators))]
        done = state._replace(operators=_set(state.operators, index, None))
        is_current = proposed == state.head or self.without == "compare_and_set"
        if not is_current:
            return [(("conflict", index), done)]
        bundle = Bundle(proposed.number + 1, "ab"[index], proposed.by)
        twin = any(
            other.number == bundle.number and other != bundle for other in state.rolled
        )
        after = done._replace(
            head=bundle,
            rolled=state.rolled | {bundle},
            net=state.net | {bundle},
            broken="two_bundles" if twin else "",
        )
        return [(("roll", index), after)]

    def _list_heard(self, state, index, known, bundle) -> list:
        newest = known[-1]
        is_next = bundle.number == newest.number + 1
        is_ours = bundle.parent == newest.by
        if self.without == "head_grows":
            is_next = bundle.number != newest.number
            is_ours = True
        if not (is_next and is_ours):
            return []
        after = state._replace(instances=_set(state.instances, index, (*known, bundle)))
        if bundle.number < newest.number:
            after = after._replace(broken="reverted")
        return [(("apply", index, bundle), after)]


def _set(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _agree(instances: tuple) -> bool:
    """Tell whether all instances have the same bundle at each number."""
    by_number: dict[int, Bundle] = {}
    for known in instances:
        for bundle in known:
            if by_number.setdefault(bundle.number, bundle) != bundle:
                return False
    return True
