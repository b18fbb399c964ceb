"""Steps for idempotency claims."""

from behave import given, then, when

from roadlift.core.clock import ManualClock
from roadlift.core.loop import Loop
from roadlift.idempotency.claims import (
    Claims,
    StoredAnswer,
    compute_fingerprint,
    compute_key,
)
from tests.support.stores import LateStore, MemoryStore

KEY = compute_key("t", "key")
FINGERPRINT = compute_fingerprint("labels /labels", b"body")


class ClaimAttempt:
    """One attempt to claim the key, and its outcome."""

    def __init__(self, context, fingerprint=FINGERPRINT):
        self.outcome = "nothing"
        self.claim = None
        self.answer = None
        context.claims.claim(
            KEY, fingerprint, self._on_claim, self._on_answer, self._on_error
        )

    def _on_claim(self, claim):
        self.outcome, self.claim = "claimed", claim

    def _on_answer(self, answer):
        self.outcome, self.answer = "answered", answer

    def _on_error(self, error):
        self.outcome = error.code


def _set_up(context, script):
    context.clock = ManualClock()
    context.loop = Loop(context.clock)
    context.store = LateStore(MemoryStore(), script)
    context.claims = Claims(context.store, context.loop, "entry-1#1")


def _advance(context, seconds):
    for _ in range(int(seconds * 10)):
        context.clock.advance(0.1)
        context.loop._run_timers()


@given('a key at a store whose calls meet "{script}"')
def step_store(context, script):
    """Set up a store with a script for its next calls."""
    _set_up(context, script.split())


@when("an attempt claims the key")
@when("another attempt claims the key")
def step_claim(context):
    """Claim the key."""
    context.last = ClaimAttempt(context)


@then("the outcome of the claim is {outcome}")
def step_outcome(context, outcome):
    """Check the outcome of the last attempt."""
    assert context.last.outcome == outcome, context.last.outcome
    if outcome == "answered":
        assert context.last.answer == context.answer


@when("the delayed writes take effect and {seconds:d} s pass")
def step_delayed(context, seconds):
    """Apply delayed writes after the attempt has ended."""
    context.store.apply_late()
    _advance(context, seconds)


@given("a key that was claimed and then {state}")
def step_state(context, state):
    """Claim a key and bring its claim to the given state."""
    _set_up(context, [])
    claim = ClaimAttempt(context).claim
    context.answer = StoredAnswer(200, {"Content-Type": "text/plain"}, b"made")
    script = context.store._script
    match state:
        case "left unconfirmed":
            pass
        case "released as not run":
            context.claims.release(claim)
        case "released with a lost reply":
            script.append("lost")
            context.claims.release(claim)
        case "answered":
            context.claims.store_answer(claim, context.answer)
        case "answered with a long body":
            context.answer = context.answer._replace(body=b"x" * 100_000)
            context.claims.store_answer(claim, context.answer)
        case "answered with a lost reply":
            script.append("lost")
            context.claims.store_answer(claim, context.answer)
        case "answered while the store was down":
            script.extend(["down"] * 3)
            context.claims.store_answer(claim, context.answer)
        case _:
            raise AssertionError(f"unknown state of a claim: {state}")
    _advance(context, 5)


@when("another attempt claims the key for another request")
def step_other(context):
    """Claim the key with another body."""
    context.last = ClaimAttempt(
        context, compute_fingerprint("labels /labels", b"other")
    )


@when("{count:d} attempts claim the key at the same moment")
def step_many(context, count):
    """Claim the key many times before any is settled."""
    context.attempts = [ClaimAttempt(context) for _ in range(count)]


@then("exactly one has the outcome claimed and the others {code}")
def step_exactly_one(context, code):
    """Check the outcomes of all attempts."""
    outcomes = sorted(attempt.outcome for attempt in context.attempts)
    assert outcomes == sorted(["claimed"] + [code] * (len(outcomes) - 1)), outcomes


@then("the rows of one key for two organisations differ")
def step_organisations(context):
    """Check that row keys differ between organisations."""
    assert compute_key("a", "key") != compute_key("b", "key")
    assert compute_key("a", "bkey") != compute_key("ab", "key")


@then("it took {reads:d} reads and {writes:d} writes")
def step_cost(context, reads, writes):
    """Check the number of store calls."""
    counted = (context.store.reads, context.store.writes)
    assert counted == (reads, writes), counted
