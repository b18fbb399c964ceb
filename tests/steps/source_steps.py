"""Steps on the aggregator that an instance receives updates from."""

import re

from behave import then, when

from roadlift.decisions.sources import Candidate, Sources

_ZONES = {"a": "z1", "b": "z2", "c": "z3"}
_STEP = 0.05
_HEARTBEAT = 0.25
_PROBE = 1.0
_DURATION = 12.0
_PATTERN = re.compile(
    r"(.*) (?:is|are) (unresponsive|idle|cut off|gone) from (\d) to (\d)"
)


class _Owners:
    """The state of the owners, from a history in words."""

    def __init__(self, history):
        self.is_lossy = "loses" in history
        self._state, self._from, self._to, self._names = "", 0.0, 0.0, ""
        found = _PATTERN.fullmatch(history)
        if found:
            self._names, self._state = found[1], found[2]
            self._from, self._to = float(found[3]), float(found[4])

    def is_(self, state, name, now):
        """Return whether an owner is in a state."""
        is_named = name in re.findall(r"\b[abc]\b", self._names)
        return is_named and state == self._state and self._from <= now < self._to

    def list_candidates(self, now):
        """Return the owners that are known."""
        return {
            zone: Candidate(zone, name, self.measure_age(name, now))
            for name, zone in _ZONES.items()
            if not self.is_("gone", name, now)
        }

    def measure_age(self, name, now):
        """Return the age of an owner's list."""
        return now - self._from if self.is_("cut off", name, now) else 0.1

    def answer(self, sources, name, now):
        """Reply to a heartbeat, unless the owner is unresponsive or gone."""
        if (
            not name
            or self.is_("unresponsive", name, now)
            or self.is_("gone", name, now)
        ):
            return
        is_serving = not self.is_("idle", name, now)
        sources.record_reply(name, now, self.measure_age(name, now), is_serving)


@when('the owners have the history "{history}"')
def step_history(context, history):
    """Play the whole duration, and keep the chosen aggregator at each time."""
    owners = _Owners(history)
    sources = Sources(["z1", "z2", "z3"])
    context.chosen = []
    beat_at = probe_at = 0.0
    beats = 0
    for tick in range(int(_DURATION / _STEP) + 1):
        now = tick * _STEP
        before = sources.current
        candidates = owners.list_candidates(now)
        current = sources.choose(candidates, now)
        context.chosen.append((now, current or "none"))
        if current != before or now >= beat_at:
            beat_at = now + _HEARTBEAT
            beats += 1
            if not (owners.is_lossy and current == "a" and beats % 2):
                owners.answer(sources, current, now)
        if now >= probe_at:
            probe_at = now + _PROBE
            for name in sources.list_probe_targets(candidates):
                owners.answer(sources, name, now)


@then("at {at:g} the instance receives from {name}")
def step_source(context, at, name):
    """Check which aggregator is chosen at a time."""
    found = [source for now, source in context.chosen if now <= at + 1e-9][-1]
    assert found == name, found


@then("until {at:g} the instance switches at most {count:d} times")
def step_changes(context, at, count):
    """Check the number of switches."""
    chosen = [name for _, name in context.chosen]
    changes = 1 + sum(one != two for one, two in zip(chosen, chosen[1:], strict=False))
    assert changes <= count, changes
