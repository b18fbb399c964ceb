"""Steps on what the soak of processes checks."""

import json
import time

from behave import given, then, when

from benchmarks.restarts import list_breaches
from benchmarks.routes import Soak
from benchmarks.runchecks import MOST_DEADLY, Cut
from benchmarks.streams import Call, StreamWatch, find_terms
from demo.installation import Answer
from roadlift.relay.upstream import Request
from standins.arrivals import Arrival, ArrivalWatch, SentCall
from standins.installation import Installation
from standins.lines import MemoryLine
from standins.runners import SLOW
from standins.statements import Sent, StatementWatch


def _split(text):
    return [] if text == "nothing" else text.split(", ")


@given('a soak in which the calls "{calls}" were cut at instances that were leaving')
def step_cuts(context, calls):
    """Make a soak without processes, and note cuts."""
    context.soak = Soak(None, 1)
    context.soak.notes.cuts = [Cut(name, "entry-0", 1.0) for name in _split(calls)]


@when('the runners tell that they broke off "{spoiled}"')
def step_spoiled(context, spoiled):
    """Check the cuts."""
    context.soak.checks._check_cuts(set(_split(spoiled)))


@then("{violations:d} calls were cut by a drain and {excused:d} by runners")
def step_cut(context, violations, excused):
    """Look at the counts."""
    soak = context.soak
    found = (soak.notes.violations["cut_by_drain"], soak.notes.counts["cut_by_runner"])
    assert found == (violations, excused), found


@given(
    "a soak in which a runner that may get {allowed:d} calls gets {calls:d}, {late:d}"
    " of them late"
)
def step_limit(context, allowed, calls, late):
    """Check what a runner says that it got."""
    context.soak = Soak(None, 1)
    context.soak.checks._check_limits([[5.0, "p0", calls, allowed, 3.4, late]])


@then("{violations:d} runners got more than their limit")
def step_over_limit(context, violations):
    """Look at the count."""
    assert context.soak.notes.violations["over_limit"] == violations


@given('a soak in which a deadly call ran at "{runs}" seconds')
def step_deadly(context, runs):
    """Note runs, the last of them at an instance that was disturbed."""
    soak = context.soak = Soak(None, 1)
    is_frozen = runs.endswith(" at a frozen one")
    words = _split(runs.removesuffix(" at a frozen one"))
    times = [float(one.removesuffix(" left")) for one in words]
    soak.notes.left = {f"d{n}" for n, one in enumerate(words) if one.endswith(" left")}
    for index, at in enumerate(times):
        soak.notes.sent_to[f"d{index}"] = ("entry-0", at)
        soak.notes.excused[f"d{index}"] = is_frozen and index == len(times) - 1
    soak.checks._check_deadly(list(soak.notes.sent_to), MOST_DEADLY, "deadly_again")


@then("{violations:d} deadly calls ran again")
def step_again(context, violations):
    """Look at the count."""
    found = context.soak.notes.violations["deadly_again"]
    assert found == violations, (found, context.soak.notes.details)


@given(
    "a soak in which a runner says {word} to a call, and {calls:d} more come {after:g}"
    " s later"
)
def step_said(context, word, calls, after):
    """Note what runners noted; a rest is of 3 seconds."""
    soak = context.soak = Soak(None, 1)
    watch = StatementWatch()
    soak.notes.senders = {
        f"r{number}": Sent("entry-0", after) for number in range(calls)
    }
    soak.notes.senders["first"] = Sent("entry-0", 0.0)
    if word == "leaving":
        watch.note_leaving("p0", "first", 0.0)
    else:
        watch.note_rest("p0", "first", 3.0, 0.0)
    for number in range(calls):
        watch.note_call("p0", f"r{number}", after)
    content = json.loads(json.dumps(watch.describe()))
    soak.checks._check_statements(StatementWatch.read(content))


@then("{late:d} calls came too late and {broken:d} rests were broken")
def step_kept(context, late, broken):
    """Look at the counts."""
    found = context.soak.notes.violations
    assert (found["late_to_leaving"], found["broken_rest"]) == (late, broken), found


_PATH = "/again/1"
_AT = 100.0  # When a call is sent, in seconds.
_FOUND = {"ends": {}, "interrupted": {}, "overlaps": [], "runs": []}
_ENDS = {
    "at a sound engine": {"r1": True},
    "as its engine was not sound": {"r1": False},
    "as another call's was not": {"r1": True, "r2": False},
}


def _note_call(watch, case, is_cut=False, lasted=1.0):
    is_held_up = case == "at an instance that stood still"
    terms = find_terms(_PATH)
    watch.note(Call("r1", "entry-0", terms, 5.0, lasted, is_cut, is_held_up))


def _count(watch, rule, **found):
    """Return how often a rule was broken."""
    found = json.loads(json.dumps({**_FOUND, **found}))
    return sum(breach.rule == rule for breach, _ in watch.check(found))


@given("a soak in which a stream is cut after {lasted:g} seconds, {case}")
def step_stream_cut(context, lasted, case):
    """Note a stream that was cut, and what its engine did."""
    watch = StreamWatch()
    _note_call(watch, case, is_cut=True, lasted=lasted)
    count = _count(watch, "cut_by_instance", ends=_ENDS.get(case, {}))
    context.found = (count, int(watch.is_expired("r1")))


@then("{violations:d} streams were cut by an instance, and {expired:d} at their limit")
def step_cut_by_instance(context, violations, expired):
    """Look at the counts."""
    assert context.found == (violations, expired), context.found


@given("a soak in which a call runs at two engines at once, {case}")
def step_two_engines(context, case):
    """Note a call that its engines saw run twice at once."""
    watch = StreamWatch()
    if case != "of which no caller knows":
        _note_call(watch, case)
    context.found = _count(watch, "ran_at_two", overlaps=["r1"])


@then("{violations:d} calls ran at two engines")
def step_ran_at_two(context, violations):
    """Look at the count."""
    assert context.found == violations, context.found


@given(
    "a soak in which a call runs {runs:d} times, {ended:d} of them at engines that end"
)
def step_runs(context, runs, ended):
    """Note the runs of a call whose route has two attempts."""
    watch = StreamWatch()
    _note_call(watch, "")
    interrupted = {"r1": ended} if ended else {}
    noted = [{"id": "r1"}] * runs
    context.found = _count(watch, "over_attempts", runs=noted, interrupted=interrupted)


@then("{violations:d} calls had too many runs")
def step_over_attempts(context, violations):
    """Look at the count."""
    assert context.found == violations, context.found


@given("a soak in which an instance {what} behind a call's sending")
def step_held_up(context, what):
    """Disturb an instance, or not, while a call is there."""
    soak = context.soak = Soak(None, 1)
    if what in ("stands still", "goes on"):
        soak.notes.disturbed["entry-0"] = _AT + (
            60.0 if what == "stands still" else 0.5
        )
    elif what == "is away":
        soak._away.add("entry-0")
    elif what == "starts again":
        soak._runs_of["entry-0"] = 1


@given("a soak in which an instance goes on before a call's sending")
def step_went_on(context):
    """Disturb an instance before a call is there."""
    context.soak = Soak(None, 1)
    context.soak.notes.disturbed["entry-0"] = _AT - 0.1


@then("the call is held up: {answer}")
def step_is_held_up(context, answer):
    """Note the call's answer, which is cut."""
    soak = context.soak
    cut = Answer(200, {}, b"", False)
    soak._note_call("r1", _PATH, "entry-0", 0, _AT, cut)
    call = soak._streams._calls["r1"]
    assert call.is_cut
    assert call.is_held_up == (answer == "yes"), call


class _Events:
    """Counts the events of a stream."""

    def __init__(self):
        self.count = 0

    def receive_head(self, status, headers):
        """Take no notice of the head."""

    def receive_body(self, data):
        """Count an event."""
        self.count += 1

    def receive_end(self):
        """Take no notice of the end."""

    def receive_error(self, error):
        """Take no notice of the connection's loss."""


def _begin_stream(context, call_id=None):
    number = len(context.streams) + 1
    headers = {"request-id": call_id or f"r{number}", "token-count": "10,20"}
    line = MemoryLine(_Events())
    request = Request("POST", f"/again{SLOW}", headers, b"")
    context.engine.handle(request, line)
    context.streams.append(line)


def _pass_time(context, seconds):
    timeline = context.installation.timeline
    end = timeline.now() + seconds
    while (due := timeline.find_next()) is not None and due <= end:
        context.installation.clock.advance(max(0.0, due - timeline.now()))
        timeline.run_due()
    context.installation.clock.advance(end - timeline.now())


def _list_counts(context):
    return ", ".join(str(line.receiver.count) for line in context.streams)


@given("an engine with two streams and an event of each")
def step_streams(context):
    """Begin two streams with events 0.2 seconds apart."""
    context.installation = Installation()
    context.engine = context.installation.add_runner("llm", "e1", "z1", "base")
    context.streams = []
    for _ in range(2):
        _begin_stream(context)
    _pass_time(context, 0.1)


@when("it {fault} for 1 second, and a third stream comes")
def step_silent(context, fault):
    """Hold the engine's streams up."""
    engine = context.engine
    silence = engine.pause if fault == "pauses" else engine.hang
    silence(1.0)
    _begin_stream(context)


@then('the streams have "{events}" events 0.9 seconds later')
def step_events(context, events):
    """Look while the engine is silent."""
    _pass_time(context, 0.9)
    assert _list_counts(context) == events, _list_counts(context)


@then('"{events}" events 0.5 seconds behind that')
def step_events_behind(context, events):
    """Look when its pause is over, and which calls it noted."""
    _pass_time(context, 0.5)
    assert _list_counts(context) == events, _list_counts(context)
    is_hung = events.startswith("1")
    wanted = {"r1", "r2", "r3"} if is_hung else set()
    assert context.installation.hung == wanted, context.installation.hung


def _run_again(context):
    """Run the first call once more, at the same engine."""
    _begin_stream(context, "r1")
    _pass_time(context, 0.1)


@when("the first {ends}")
def step_first_ends(context, ends):
    """End the run of the first stream, and maybe another one."""
    engine, line = context.engine, context.streams[0]
    if "pauses" in ends:
        engine.pause(1.0)
    elif "hangs" in ends:
        engine.hang(0.0)
    elif "starts again" in ends:
        engine.restart()
    if "a second" in ends:
        _end_two(context, ends)
    elif "broken off" in ends:
        engine.crash()
    elif "left" in ends:
        line.close()
    else:
        _pass_time(context, 1.0)
        if "crashes" in ends:
            engine.crash()


def _end_two(context, ends):
    """End the first run of the first stream, and then a second run."""
    engine, line = context.engine, context.streams[0]
    if ends.startswith("is left"):
        line.close()
    elif ends.startswith("is broken off"):
        engine.crash()
        _pass_time(context, 3.0)
    if ends.endswith("at once"):
        _begin_stream(context, "r1")
    else:
        _run_again(context)
    line.close()
    if ends.endswith("whole"):
        _pass_time(context, 1.0)
    elif "second is broken off" in ends:
        engine.crash()
    else:
        context.streams[-1].close()


@then("a sound run of it was given up: {answer}")
def step_given_up(context, answer):
    """Look at what the installation noted."""
    is_given_up = context.installation.ends.ends["r1"]
    assert is_given_up == (answer == "yes"), context.installation.ends.ends


_ANSWERS = {
    "its answer is cut": Answer(200, {}, b"", False),
    "it has no answer": Answer(0, {}, b"", False),
    "its answer is whole": Answer(200, {}, b"", True),
}


@given("a soak in which a call ends at a drain after {lasted:g} seconds, {answer}")
def step_drain(context, lasted, answer):
    """Judge the answer of a call to an instance that leaves."""
    soak = context.soak = Soak(None, 1)
    began = time.monotonic() - lasted
    soak._leaving_at["entry-0"] = began
    soak._note_call("r1", _PATH, "entry-0", 0, began, _ANSWERS[answer])
    soak._judge("r1", "again", "entry-0", began, _ANSWERS[answer])
    soak.checks._check_cuts(set())


@then("{violations:d} calls were cut by a drain and {expired:d} at their limit")
def step_drain_limit(context, violations, expired):
    """Look at the counts."""
    soak = context.soak
    found = (soak.notes.violations["cut_by_drain"], soak.notes.counts["cut_at_limit"])
    assert found == (violations, expired), found


def _read_send(text):
    at, limit = text.split(": ")
    seconds = None if limit == "none" else float(limit)
    return Arrival(float(at), "plain", "r1", "p0", seconds)


@given('a soak in which runners receive "{sends}", each as its time and its limit')
def step_receive(context, sends):
    """Check the sends of one call."""
    watch = ArrivalWatch(_read_send(text) for text in _split(sends))
    sent = [SentCall(10.0, "plain", "r1", 4.0)]
    context.breaches = list(list_breaches(watch, sent))


@then("{late:d} sends had more time than was left")
def step_overlong(context, late):
    """Look at the breaches."""
    assert [one.rule for one in context.breaches] == ["over_time"] * late


@given(
    "a soak in which runners receive 50 calls and {retries:d} retries over"
    " {seconds:d} s"
)
def step_retries(context, retries, seconds):
    """Spread them evenly, each call before the retries."""
    gap = seconds / retries
    calls = [Arrival(100.0, "plain", f"r{n}", "p0", None) for n in range(50)]
    again = [
        Arrival(100.0 + n * gap, "plain", f"r{n % 50}", "p1", None)
        for n in range(retries)
    ]
    context.breaches = list(list_breaches(ArrivalWatch(calls + again), []))


@then("the retry rule is broken: {answer}")
def step_retry_rule(context, answer):
    """Look at the breaches."""
    found = [one.rule for one in context.breaches]
    assert found == (["over_retries"] if answer == "yes" else []), context.breaches
