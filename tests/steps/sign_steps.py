"""Steps on signs of calls that end endpoints."""

import json
import random

from behave import given, then, when

from roadlift.core.errors import MalformedMessage
from roadlift.decisions.crashes import STRONG, WEAK, Crashes, Sign
from roadlift.serving.calls import Call, Model
from roadlift.serving.crashevidence import read_evidence
from roadlift.serving.identity import IDENTITY_SIZE, identify

_WEIGHTS = {"strong": STRONG, "weak": WEAK}


def _name(text):
    return text.encode().ljust(IDENTITY_SIZE, b".")


@when('signs are learned "{history}"')
def step_learn(context, history):
    """Play a history of ends, each with its time in seconds."""
    context.crashes = Crashes()
    for event in history.split(", "):
        words = event.split()
        if words[0] == "nothing":
            return
        now = float(words[0])
        context.crashes.expire(now)
        if words[-1] == "cleared":
            context.crashes.clear(_name(words[1]))
        elif words[-1] == "others":
            for index in range(int(words[1])):
                other = Sign(_name(f"o{index}"), "e9", STRONG, 0.0)
                context.crashes.merge([other], now)
        elif words[-1] != "passes":
            sign = Sign(_name(words[1]), words[3], _WEIGHTS[words[2]], 0.0)
            context.crashes.merge([sign], now)


@then("at {now:g} the call a is refused for {seconds:g} seconds")
def step_refused(context, now, seconds):
    """Check the rest of the refusal."""
    found = context.crashes.measure_refusal(_name("a"), now)
    assert abs(found - seconds) < 0.01, found


@given("{count:d} draws of signs at {instances:d} instances")
def step_draw(context, count, instances):
    """Let instances learn signs of their own, and clear some calls."""
    context.draws = []
    for seed in range(count):
        drawn = random.Random(seed)
        sets = [Crashes() for _ in range(instances)]
        for _ in range(drawn.randrange(1, 30)):
            sign = Sign(
                _name(drawn.choice("abcd")),
                f"e{drawn.randrange(4)}",
                drawn.choice([STRONG, WEAK]),
                drawn.random(),
            )
            chosen = drawn.choice(sets)
            chosen.merge([sign], 10.0)
            if drawn.random() < 0.1:
                chosen.clear(sign.identity)
        context.draws.append((drawn, sets))


@when("each instance tells each other all it knows, in an order that is drawn")
def step_tell(context):
    """Tell all, twice, as what is told on the way is passed on."""
    for drawn, sets in context.draws:
        pairs = [(a, b) for a in sets for b in sets if a is not b]
        for _ in range(2):
            drawn.shuffle(pairs)
            for one, other in pairs:
                other.merge(one.list_signs(11.0), 11.0)


@then("all instances refuse the same calls and have the same checksum")
def step_agree(context):
    """Compare the instances of each draw."""
    for _, sets in context.draws:
        views = {tuple(one.is_refused(_name(text)) for text in "abcd") for one in sets}
        sums = {one.compute_checksum() for one in sets}
        assert len(views) == len(sums) == 1, (views, sums)


@then('the signs "{signs}" are malformed')
def step_malformed(context, signs):
    """Read the signs of a message."""
    fields = json.loads(signs)
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
    "border of parts": {"target": "/a/", "host": "h.example1"},
}


@then("a call that differs in {difference} is {same} work")
def step_identity(context, difference, same):
    """Compare the identities."""
    other = _CALL._replace(**_OTHERS[difference])
    is_same = identify(other) == identify(_CALL)
    assert is_same == (same == "the same")


class _Order:
    """One drawn order of calls, ends and news at several instances."""

    LIFE = 0.13  # Seconds from a run's beginning until its end is known there.
    SPAN = 40.0  # Seconds for which the calls come.
    ENGINES = 12
    BESIDE = 3  # Other calls that run on an engine when it ends.

    def __init__(self, seed, instances):
        self._draw = random.Random(seed)
        self.ledgers = [Crashes(number / instances) for number in range(instances)]
        self._news = []
        self._lives = [0] * self.ENGINES
        self._others = 0
        self.runs = {}
        self.known_at = {}
        self.refused_for = {}

    def play(self, calls):
        """Send the deadly calls, and let news arrive between them."""
        due = sorted((self._draw.random(), name) for name in range(calls))
        while due[0][0] < self.SPAN:
            now, name = due.pop(0)
            self._deliver(now)
            self._send(now, f"deadly{name}")
            due.append((now + self._draw.uniform(0.2, 0.8), name))
            due.sort()
        self._deliver(self.SPAN + 2.0)

    def _send(self, now, name):
        ledger = self._draw.choice(self.ledgers)
        if ledger.measure_refusal(_name(name), now):
            return
        self.runs.setdefault(name, []).append(now)
        engine = self._draw.randrange(self.ENGINES)
        self._lives[engine] += 1
        run = f"e{engine}#{self._lives[engine]}"
        signs = [Sign(_name(name), run, STRONG, 0.0)]
        for _ in range(self.BESIDE):
            other = f"other{self._draw.randrange(40)}"
            signs.append(Sign(_name(other), run, WEAK, 0.0))
        known = now + self.LIFE
        arrivals = [known + self._draw.random() for _ in self.ledgers]
        arrivals[self.ledgers.index(ledger)] = known
        self._news += zip(arrivals, self.ledgers, [signs] * len(arrivals), strict=True)
        ends = len(self.runs[name])
        if ends == 2:
            self.known_at[name] = max(arrivals)

    def _deliver(self, now):
        """Let what is due arrive, and see who else is refused for it."""
        for at, ledger, signs in [one for one in self._news if one[0] <= now]:
            ledger.merge(signs, at)
            for sign in signs:
                seconds = ledger.measure_refusal(sign.identity, at)
                known = self.refused_for.get(sign.identity, (0.0, 0))
                ends = ledger.count_ends(sign.identity)
                self.refused_for[sign.identity] = max(known, (seconds, ends))
        self._news = [one for one in self._news if one[0] > now]


@given("{count:d} draws in which signs reach others within 1 second, or a row does")
def step_orders(context, count):
    """Choose the seeds."""
    context.seeds = range(count)


@when("{calls:d} deadly calls come each 0.2 to 0.8 seconds to {instances:d} instances")
def step_play(context, calls, instances):
    """Play each draw."""
    context.orders = [_Order(seed, instances) for seed in context.seeds]
    for order in context.orders:
        order.play(calls)


@then("each runs twice, and as often as it came before all knew of its second end")
def step_bound(context):
    """Count the runs behind that time."""
    for order in context.orders:
        for name, runs in order.runs.items():
            late = [at for at in runs[2:] if at > order.known_at[name]]
            assert not late, (name, runs, order.known_at[name])


@then("calls that only ran beside two ends are not refused")
def step_others(context):
    """Look at what became of the others."""
    for order in context.orders:
        for identity, (seconds, ends) in order.refused_for.items():
            is_other = identity.startswith(b"other")
            assert not (is_other and ends <= 2 and seconds), (identity, seconds)
