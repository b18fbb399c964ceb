"""Steps on evidence against calls that crash endpoints."""

import json
import random

from behave import given, then, when

from roadlift.core.errors import MalformedMessage
from roadlift.decisions.crashes import Crashes
from roadlift.decisions.crashrecord import SHARED, STRONG, WEAK, CrashEvidence
from roadlift.serving.calls import Call, Model, PromptPart
from roadlift.serving.crashevidence import encode_row, read_evidence, read_row
from roadlift.serving.identity import IDENTITY_SIZE, identify, identify_parts

_WEIGHTS = {"strong": STRONG, "weak": WEAK, "shared": SHARED}


def _name(text):
    return text.encode().ljust(IDENTITY_SIZE, b".")


@when('the evidence has the history "{history}"')
def step_evidence(context, history):
    """Play a history of crashes, each with its time in seconds."""
    context.crashes = Crashes()
    for event in history.split(", "):
        words = event.split()
        if words[0] == "nothing":
            return
        now = float(words[0])
        context.crashes.expire(now)
        if words[-1] == "cleared":
            context.crashes.clear(_name(words[1]))
        elif words[2] == "survived":
            context.crashes.clear(_name(words[1]), float(words[3]))
        elif words[2] == "readmitted":
            context.crashes.readmit(_name(words[1]), words[3].split("+"))
        elif words[-1] == "others":
            for index in range(int(words[1])):
                other = CrashEvidence(_name(f"o{index}"), "e9", STRONG, 0.0)
                context.crashes.merge([other], now)
        elif words[-1] == "parts":
            for index in range(int(words[1])):
                other = CrashEvidence(_name(f"o{index}"), "e9", SHARED, 0.0)
                context.crashes.merge([other], now)
        elif words[-1] != "passes":
            item = CrashEvidence(_name(words[1]), words[3], _WEIGHTS[words[2]], 0.0)
            context.crashes.merge([item], now)


@then("at {now:g} the call a is refused for {seconds:g} seconds")
def step_refused(context, now, seconds):
    """Check the remaining refusal."""
    context.crashes.promote(now)
    found = context.crashes.compute_refusal(_name("a"), now)
    assert abs(found - seconds) < 0.01, found


@then("at {now:g} a call with the parts {parts} is {result}")
def step_parts(context, now, parts, result):
    """Check whether it is refused, tried alone or run."""
    context.crashes.promote(now)
    names = [_name(text) for text in parts]
    refused = [name for name in names if context.crashes.is_refused(name)]
    excused = [name for name in refused if context.crashes.is_excused(name, names, now)]
    found = "refused" if len(excused) < len(refused) else "tried" if refused else "run"
    assert found == result, found


@then("at {now:g} the call a is refused for {seconds:g} seconds by a row, too")
def step_row(context, now, seconds):
    """Write its evidence to a row, and read it in another process."""
    value = encode_row(now, context.crashes.list_evidence(now, _name("a")))
    context.crashes = Crashes()
    context.crashes.merge(read_row(_name("a"), value, now), now)
    step_refused(context, now, seconds)


@then("a prompt of the parts {parts} shares {count:d} of them")
def step_identified(context, parts, count):
    """Count the parts of a prompt that have an identity."""
    prompt = tuple(PromptPart(text, 1) for text in parts.split(","))
    assert len(identify_parts(_CALL._replace(prompt=prompt))) == count


@given("{count:d} random sets of evidence at {instances:d} instances")
def step_random_sets(context, count, instances):
    """Add evidence at several instances, and clear some calls."""
    context.sets = []
    for seed in range(count):
        rng = random.Random(seed)
        sets = [Crashes() for _ in range(instances)]
        for _ in range(rng.randrange(1, 30)):
            item = CrashEvidence(
                _name(rng.choice("abcd")),
                f"e{rng.randrange(4)}",
                rng.choice([STRONG, WEAK]),
                rng.random(),
            )
            chosen = rng.choice(sets)
            chosen.merge([item], 10.0)
            if rng.random() < 0.1:
                chosen.clear(item.identity)
        context.sets.append((rng, sets))


@when("each instance reports all its evidence to each other, in a random order")
def step_report(context):
    """Exchange everything twice, as instances forward what they receive."""
    for rng, sets in context.sets:
        pairs = [(a, b) for a in sets for b in sets if a is not b]
        for _ in range(2):
            rng.shuffle(pairs)
            for one, other in pairs:
                other.merge(one.list_evidence(11.0), 11.0)


@then("all instances refuse the same calls and have the same checksum")
def step_agree(context):
    """Compare the instances of each set."""
    for _, sets in context.sets:
        views = {tuple(one.is_refused(_name(text)) for text in "abcd") for one in sets}
        sums = {one.compute_checksum() for one in sets}
        assert len(views) == len(sums) == 1, (views, sums)


@then('the evidence "{evidence}" is malformed')
def step_malformed(context, evidence):
    """Read the evidence of a message."""
    fields = json.loads(evidence)
    for one in fields:
        if isinstance(one, list):
            one[0] = _name("a") if one[0] == "IDENTITY" else one[0]
    try:
        found = read_evidence(fields)
    except MalformedMessage:
        return
    raise AssertionError(found)


_CALL = Call(
    "r1", "POST", "/a/1", "h.example", {"accept": "*"}, b"body", 1.0, Model("m", "x")
)
_OTHERS = {
    "nothing": {},
    "id": {"id": "r2"},
    "time limit": {"time_limit": 2.0},
    "other headers": {"headers": {"accept": "text/plain"}},
    "case of host": {"host": "H.example"},
    "method": {"method": "PUT"},
    "host": {"host": "g.example"},
    "target": {"target": "/a/1?q"},
    "body": {"body": b"bodz"},
    "model": {"model": Model("m", "y")},
    "field boundary": {"target": "/a/", "host": "h.example1"},
}


@then("a call that differs in {difference} is {same} work")
def step_identity(context, difference, same):
    """Compare the identities."""
    other = _CALL._replace(**_OTHERS[difference])
    is_same = identify(other) == identify(_CALL)
    assert is_same == (same == "the same")


class _RandomOrder:
    """One random order of calls, crashes and evidence at instances."""

    # Seconds from a run's start until its crash is known at its instance.
    DETECTION_TIME = 0.13
    DURATION = 40.0  # Seconds for which the calls come.
    ENGINES = 12
    OTHER_CALLS = 3  # Other calls that run on an engine when it crashes.

    def __init__(self, seed, instances):
        self._rng = random.Random(seed)
        self.ledgers = [Crashes(number / instances) for number in range(instances)]
        self._arriving = []
        self._starts = [0] * self.ENGINES
        self._others = 0
        self.runs = {}
        self.known_at = {}
        self.refused_for = {}

    def play(self, calls):
        """Send the crashing calls, and let evidence arrive between them."""
        due = sorted((self._rng.random(), name) for name in range(calls))
        while due[0][0] < self.DURATION:
            now, name = due.pop(0)
            self._deliver(now)
            self._send(now, f"crashing{name}")
            due.append((now + self._rng.uniform(0.2, 0.8), name))
            due.sort()
        self._deliver(self.DURATION + 2.0)

    def _send(self, now, name):
        ledger = self._rng.choice(self.ledgers)
        if ledger.compute_refusal(_name(name), now):
            return
        self.runs.setdefault(name, []).append(now)
        engine = self._rng.randrange(self.ENGINES)
        self._starts[engine] += 1
        run = f"e{engine}#{self._starts[engine]}"
        evidence = [CrashEvidence(_name(name), run, STRONG, 0.0)]
        for _ in range(self.OTHER_CALLS):
            other = f"other{self._rng.randrange(40)}"
            evidence.append(CrashEvidence(_name(other), run, WEAK, 0.0))
        known = now + self.DETECTION_TIME
        arrivals = [known + self._rng.random() for _ in self.ledgers]
        arrivals[self.ledgers.index(ledger)] = known
        self._arriving += zip(
            arrivals, self.ledgers, [evidence] * len(arrivals), strict=True
        )
        crashes = len(self.runs[name])
        if crashes == 2:
            self.known_at[name] = max(arrivals)

    def _deliver(self, now):
        """Merge evidence that has arrived, and keep who is refused for it."""
        for at, ledger, evidence in [one for one in self._arriving if one[0] <= now]:
            ledger.merge(evidence, at)
            for item in evidence:
                seconds = ledger.compute_refusal(item.identity, at)
                known = self.refused_for.get(item.identity, (0.0, 0))
                crashes = ledger.count_crashes(item.identity)
                self.refused_for[item.identity] = max(known, (seconds, crashes))
        self._arriving = [one for one in self._arriving if one[0] > now]


@given("{count:d} random orders in which evidence reaches others within 1 second")
def step_orders(context, count):
    """Choose the seeds.

    The evidence reaches other instances by a message or by a row of the store.
    """
    context.seeds = range(count)


@when(
    "{calls:d} crashing calls come each 0.2 to 0.8 seconds to {instances:d} instances"
)
def step_play(context, calls, instances):
    """Play each order."""
    context.orders = [_RandomOrder(seed, instances) for seed in context.seeds]
    for order in context.orders:
        order.play(calls)


@then("each runs twice, and as often as it came before all had its second crash")
def step_bound(context):
    """Count the runs after that time."""
    for order in context.orders:
        for name, runs in order.runs.items():
            late = [at for at in runs[2:] if at > order.known_at[name]]
            assert not late, (name, runs, order.known_at[name])


@then("calls that only ran during two crashes are not refused")
def step_others(context):
    """Check that no other call was refused."""
    for order in context.orders:
        for identity, (seconds, crashes) in order.refused_for.items():
            is_other = identity.startswith(b"other")
            assert not (is_other and crashes <= 2 and seconds), (identity, seconds)
