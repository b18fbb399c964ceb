"""Steps on messages from aggregators, and on calls to the store."""

from behave import then, when

from roadlift.core.codec import Envelope, encode
from roadlift.core.traffic import RECEIVED, SENT
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.instance.platform import Platform
from roadlift.instance.subscription import Subscription
from roadlift.serving.calls import Model
from roadlift.serving.messages import HandOver, OperatorNews
from tests.support.configuration import BASE

_COUNT_WINDOW = 5.0  # Seconds over which messages are counted.


def _list_plain(context):
    """Return the instances that own nothing."""
    return [
        entry
        for entry in context.entries.entries.values()
        if not entry.kernel.get(Leases).list_held()
    ]


def _find_owner(context, zone):
    (entry,) = [
        entry
        for entry in context.entries.entries.values()
        if zone in entry.kernel.get(Leases).list_held()
    ]
    return entry


def _count(entry, direction):
    counts = entry.transport.traffic.list_counts()
    return sum(
        count.messages for kind, count in counts.items() if kind.direction == direction
    )


@then(
    "an instance that owns nothing receives at most {received:d} messages a second"
    " and sends {sent:d}"
)
def step_messages(context, received, sent):
    """Count messages over the following seconds."""
    entry = _list_plain(context)[0]
    context.counted_owner = _find_owner(context, "z2")
    owner_before = _count(context.counted_owner, SENT)
    before = _count(entry, RECEIVED), _count(entry, SENT)
    context.entries.advance(_COUNT_WINDOW)
    context.owner_rate = (
        _count(context.counted_owner, SENT) - owner_before
    ) / _COUNT_WINDOW
    found = (
        (_count(entry, RECEIVED) - before[0]) / _COUNT_WINDOW,
        (_count(entry, SENT) - before[1]) / _COUNT_WINDOW,
    )
    assert found[0] <= received and found[1] <= sent, found


@then("the owner of z2 sends at most {most:d} messages a second")
def step_owner_messages(context, most):
    """Check the count over the same seconds."""
    assert context.owner_rate <= most, context.owner_rate


@then("the instance of z1 that owns nothing subscribes to the owner of {zone}")
def step_subscribes(context, zone):
    """Check the address that it sends its heartbeats to."""
    entry = context.entries.entries[context.other]
    source = entry.kernel.get(Subscription).source
    assert source == _find_owner(context, zone).address, source


def _count_operator_calls(context):
    store = context.entries.entries[context.other].kernel.get(Platform).store
    calls = store.calls.items()
    return sum(count for call, count in calls if call.table == "op")


@then("the instance of z1 that owns nothing has not read the operator's table since")
def step_not_read(context):
    """Compare with the earlier number of calls."""
    found = _count_operator_calls(context) - context.operator_calls
    assert found == 0, found


@when("the owners are cut from the store")
def step_cut_owners(context):
    """Cut every instance that holds a lease from the store only."""
    (plain,) = _list_plain(context)
    context.other = plain.name
    for entry in context.entries.entries.values():
        if entry is not plain:
            context.entries.installation.cut_from_store.add(entry.dialer)


@when("the store is unavailable for {seconds:d} seconds")
def step_outage(context, seconds):
    """Stop the store's answers, and count the calls of instances."""
    calls = context.entries.installation.store_calls
    plain = _list_plain(context)
    before = {entry.name: calls[entry.dialer] for entry in plain}
    context.entries.installation.store.is_down = True
    context.entries.advance(seconds)
    context.entries.installation.store.is_down = False
    context.outage_calls = sum(
        calls[entry.dialer] - before[entry.name] for entry in plain
    )


@then("instances that own nothing have called it at most {most:d} times")
def step_outage_calls(context, most):
    """Check the count."""
    assert context.outage_calls <= most, context.outage_calls


@when("an aggregator relays a malformed row")
def step_malformed_row(context):
    """Give an instance an update with a row that is not packed."""
    (plain,) = _list_plain(context)
    context.other = plain.name
    update = OperatorNews(1, 0, [["config", 10**9, b"no packed value"]])
    plain.kernel.get(Follower).apply_operator_update(update)


@when(
    "the lease of z1 is offered to the instance that owns nothing, cut from the owners"
)
def step_offer(context):
    """Offer it while its owner renews it, and no messages arrive."""
    (plain,) = _list_plain(context)
    calls = context.entries.installation.store_calls
    context.entries.is_cut = True
    before = calls[plain.dialer]
    plain.transport.receive(encode(Envelope("x", HandOver("z1"))))
    context.entries.advance(1.0)
    context.offer_calls = calls[plain.dialer] - before


@then("it has called the store at most {most:d} times in the second after the offer")
def step_offer_calls(context, most):
    """Check the count."""
    assert 5 <= context.offer_calls <= most, context.offer_calls


@when("an instance d starts in z1, and each first message is dropped")
def step_start_cold(context):
    """Start an instance that has no open connection to others."""
    entry = context.entries.start("d", "z1")
    for known in context.entries.entries.values():
        known.transport.opens_ways = True
    entry.kernel.loop.run_once()


@then("d knows the engine that holds the adapter")
def step_knows(context):
    """Check the adapters at engines that it knows."""
    knowledge = context.entries.entries["d"].kernel.get(Knowledge)
    assert knowledge.residency.find(Model(BASE, "x"))
