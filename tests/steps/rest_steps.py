"""Steps on engines of the hub that ask for rest."""

from behave import then, when

from standins.statements import MOST_IN_REST, NOTICE


@when(
    "{count:d} engines turn calls away with a rest of {rest:d} s, of {rate:d} calls a"
    " second for {span:d} s"
)
def step_turn_away(context, count, rest, rate, span):
    """Send calls of several models to the instances in turn."""
    deployment = context.deployment
    hub = deployment.hub
    names = sorted(hub.kernels)
    for number in range(12):
        deployment.call(names[number % len(names)], f"m{number % 6}@1")
        hub.advance(0.3)
    context.turned = [hub.engines[address] for address in sorted(hub.engines)][:count]
    for engine in context.turned:
        engine.rest = rest
    context.rest = rest
    context.calls = []
    for number in range(rate * span):
        name = names[number % len(names)]
        context.calls.append(deployment.call(name, f"m{number * 7 % 6}@1"))
        hub.advance(1.0 / rate)


@then("an engine got at most {most:d} calls, and {own:d} of each instance in a rest")
def step_rests(context, most, own):
    """Count what came to each, and in each rest that began."""
    assert own == MOST_IN_REST
    instances = len(context.deployment.hub.kernels)
    for engine in context.turned:
        times = engine.turned_away
        assert 0 < len(times) <= most, len(times)
        for at in times:
            since, until = at + NOTICE, at + context.rest
            within = sum(since < other <= until for other in times)
            assert within <= own * instances, (at, within)


@then("{least:d} in 100 calls were served, and none waited for more than {most:g} s")
def step_served(context, least, most):
    """Look at the callers once all have their answer."""
    context.deployment.hub.advance(most)
    done = [one for one in context.calls if one.is_whole or one.error]
    served = [one for one in done if one.is_whole]
    assert len(done) == len(context.calls), (len(done), len(context.calls))
    assert len(served) >= least / 100 * len(done), (len(served), len(done))
