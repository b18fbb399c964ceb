"""Steps on engines that start again under the same name."""

from behave import given, then, when

from roadlift.instance.follower import Follower
from roadlift.instance.owner import Owner
from roadlift.serving.copies import CopyState


def _engines(context, names="all engines"):
    runners = context.entries.installation.runners
    return [
        runner
        for name, runner in runners.items()
        if name.startswith("e") and names in ("all engines", name)
    ]


def _write(context, runner):
    context.entries.installation.store.put("servers", runner.id, runner.describe())


@given("all engines tell when they were started")
def step_born(context):
    """Let each engine begin its first run that is told of."""
    for runner in _engines(context):
        runner.restart()
        _write(context, runner)
    context.entries.advance(2.0)


@when("{names} start again, and tell so after {late:g} seconds")
def step_restart(context, names, late):
    """Restart engines; the list learns of it later."""
    context.earlier = {one.id: one.describe() for one in _engines(context)}
    for runner in _engines(context, names):
        runner.restart()
        if late:
            plan = lambda one=runner: _write(context, one)
            context.entries.installation.timeline.call_later(late, plan)
        else:
            _write(context, runner)


@when("an entry of the earlier run of {name:w} is written again")
def step_late(context, name):
    """Write what the runner told of itself before."""
    context.entries.installation.store.put("servers", name, context.earlier[name])


@then("every instance knows the new run of {name:w} alone")
def step_known(context, name):
    """Check the entries of that name."""
    born = context.entries.installation.runners[name].born
    for entry in context.entries.entries.values():
        listed = entry.kernel.get(Follower).directory.list_all()
        found = [one.started_at for one in listed if one.name == name]
        assert found == [born], (entry.name, found, born)


@then("no engine is taken to hold what it does not")
def step_held(context):
    """Compare the owners' books with what the engines hold."""
    runners = context.entries.installation.runners
    for entry in context.entries.entries.values():
        for term in entry.kernel.get(Owner).list_terms():
            for engine in term.engines.values():
                held = runners[engine.endpoint.name].held
                found = {
                    model.adapter
                    for model, copy in engine.record.copies.items()
                    if copy.state is CopyState.HELD and engine.record.has_report
                }
                is_old = (
                    engine.endpoint.started_at != runners[engine.endpoint.name].born
                )
                assert is_old or found <= set(held), (engine.endpoint, found, held)
