"""Steps on engines that restart under the same name."""

from behave import given, then, when

from roadlift.instance.follower import Follower
from roadlift.instance.owner import Owner
from roadlift.serving.copies import CopyState


def _list_engines(context, names="all engines"):
    runners = context.entries.installation.runners
    return [
        runner
        for name, runner in runners.items()
        if name.startswith("e") and names in ("all engines", name)
    ]


def _write(context, runner):
    context.entries.installation.store.put("servers", runner.id, runner.describe())


@given("all engines report their start times")
def step_start_times(context):
    """Restart each engine, so that its entry has a start time."""
    for runner in _list_engines(context):
        runner.restart()
        _write(context, runner)
    context.entries.advance(2.0)


@when("{names} restart, and their entries change after {delay:g} seconds")
def step_restart(context, names, delay):
    """Restart engines; write their entries after a delay."""
    context.earlier = {
        runner.id: runner.describe() for runner in _list_engines(context)
    }
    for runner in _list_engines(context, names):
        runner.restart()
        if delay:
            write = lambda engine=runner: _write(context, engine)
            context.entries.installation.timeline.call_later(delay, write)
        else:
            _write(context, runner)


@when("an entry of the earlier run of {name:w} is written again")
def step_earlier_entry(context, name):
    """Write the entry that the engine had before its restart."""
    context.entries.installation.store.put("servers", name, context.earlier[name])


@then("every instance knows only the new run of {name:w}")
def step_known(context, name):
    """Check the entries of that name."""
    born = context.entries.installation.runners[name].born
    for entry in context.entries.entries.values():
        listed = entry.kernel.get(Follower).directory.list_all()
        found = [endpoint.started_at for endpoint in listed if endpoint.name == name]
        assert found == [born], (entry.name, found, born)


@then("no engine is recorded as holding an adapter that it does not hold")
def step_held(context):
    """Compare the owners' records with the adapters that engines hold."""
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
