"""List the events that the logs of the interface ``routes`` hold.

A line is a JSON object with time, level, instance, part, event and the fields
of the event; a test holds this list and the calls together.
"""

from typing import NamedTuple


class Event(NamedTuple):
    """One kind of line: who writes it, its fields, and what it tells."""

    part: str
    name: str
    fields: tuple[str, ...]
    meaning: str


EVENTS = (
    Event(
        "control",
        "control_costs",
        ("messages", "store_calls"),
        "What the control plane cost since the start: [messages, bytes] by type and "
        "direction, and calls to the store by action and table.",
    ),
    Event("daemon", "reload", ("changed", "reason"), "The settings were read again."),
    Event("exchange", "endpoint_ejected", ("endpoint", "error"), "Too many failed."),
    Event(
        "crashes",
        "work_barred",
        ("identity", "ends", "seconds"),
        "So many endpoints ended under calls or loads of that identity; they are "
        "refused for so long.",
    ),
    Event(
        "crashes",
        "work_cleared",
        ("identity",),
        "It came to a good end, or its row was deleted; it is let in again.",
    ),
    Event(
        "crashes",
        "crash_row_failed",
        ("identity", "error"),
        "What is known of refused work was not written to the store.",
    ),
    Event(
        "crashes",
        "endpoint_ended",
        ("endpoint", "cut", "suspects"),
        "An endpoint ended with so many calls of this instance; suspects are "
        "[identity, weight] of those that may be the cause.",
    ),
    Event(
        "exchange",
        "send_failed",
        (
            "request",
            "endpoint",
            "error",
            "sends",
            "age",
            "given_up",
            "identity",
            "got",
        ),
        "A send failed; given_up says why no further one follows. Calls of one "
        "identity ask for the same work; got is nothing, head or events.",
    ),
    Event(
        "follower",
        "configuration_in_force",
        ("version", "routes", "organisations"),
        "A configuration replaced the one before.",
    ),
    Event(
        "follower",
        "endpoint_draining",
        ("endpoint", "address", "service", "remaining", "version"),
        "An endpoint takes no new calls.",
    ),
    Event("follower", "endpoint_gone", ("endpoint", "version"), "Its entry went."),
    Event(
        "follower",
        "endpoint_ready",
        ("endpoint", "address", "service", "remaining", "version"),
        "An endpoint is new, or takes calls again.",
    ),
    Event("follower", "history_gone", ("table", "era", "version"), "All is read anew."),
    Event(
        "follower",
        "row_older",
        ("key", "told", "known"),
        "A row of the operator is older than what is in force, as it is behind the "
        "store's return; what is in force stands.",
    ),
    Event(
        "follower",
        "store_came_back_older",
        ("era", "before", "source", "operator", "list"),
        "The store lost its newest writes and counts versions anew from an older "
        "one. What told so, and the versions as of which the operator's rows and "
        "the list were known before.",
    ),
    Event("follower", "store_lost", ("table", "error"), "The store can't be read."),
    Event(
        "follower",
        "row_written_again",
        ("key",),
        "The store has a row of the operator again that was older in it.",
    ),
    Event(
        "follower", "store_regained", ("table", "era", "version"), "It can be again."
    ),
    Event("follower", "version_declared", ("model", "version"), "Older ones retire."),
    Event(
        "ingress",
        "call_ended",
        (
            "outcome",
            "request",
            "route",
            "organisation",
            "service",
            "model",
            "endpoint",
            "sends",
            "status",
            "tokens_in",
            "tokens_out",
            "sent",
            "waited",
            "first",
            "pause",
            "seconds",
            "error",
            "configuration",
            "list_age",
            "steps",
            "one_in",
        ),
        "A call ended; steps are its decisions, with the age of the sign of the "
        "engine's owner at each send. Of those in time one in one_in.",
    ),
    Event(
        "ingress",
        "call_refused",
        (
            "request",
            "error",
            "configuration",
            "configuration_age",
            "organisation",
            "share",
            "used",
            "demand",
            "news_age",
            "left_out",
        ),
        "A request was refused before it became a call, with what decided it where "
        "callers have keys: for how long a change of the configuration may have "
        "gone unnoticed, the caller's organisation, this instance's share of its "
        "allowance, what it used here, what it asks for a second, and the age of "
        "the aggregator's news. Of one error 20 lines a second are written; "
        "left_out counts those before this line that were not.",
    ),
    Event(
        "ingress",
        "adapters_served",
        ("models", "left_out"),
        "The adapters of calls that were served since the line before, set off by "
        "spaces; left_out counts calls of further ones.",
    ),
    Event("ingress", "drained", ("cut",), "The leaving is over; cut calls remain."),
    Event("ingress", "leaving", ("running",), "SIGTERM came."),
    Event("ingress", "started", ("version",), "The process serves."),
    Event("ingress", "stopped", ("cut",), "The process ends."),
    Event("leases", "lease_gained", ("zone", "fence", "quiet"), "This one owns it."),
    Event("leases", "lease_lost", ("zone", "reason"), "This one owns it no more."),
    Event(
        "leases",
        "lease_unwritten",
        ("zone", "fence"),
        "The store may have lost this one's term as it came back older; it is "
        "written again, before it ends.",
    ),
    Event("leases", "lease_offered", ("zone",), "Another gave it back for this one."),
    Event("leases", "lease_released", ("zone",), "It was given back."),
    Event(
        "limits",
        "limit_changed",
        ("endpoint", "service", "limit", "before", "heard", "status", "age"),
        "An endpoint's limit, in calls a second, became known here, changed or ended. "
        "It was heard in an answer (of that status, to a call sent age seconds "
        "before), from the owner of its zone, or in news.",
    ),
    Event(
        "limits",
        "limit_given_out",
        ("endpoint", "limit", "before", "asker"),
        "This owner gives the sends to an endpoint out by another limit than before, "
        "or none, as an instance told.",
    ),
    Event(
        "owner",
        "load_denied",
        ("endpoint", "model", "reason", "held", "arriving", "in_use", "running"),
        "An engine will not load an adapter soon. The counts are of its copies "
        "held, on their way and in use, and of the calls that instances told of.",
    ),
    Event(
        "owner",
        "order",
        (
            "action",
            "endpoint",
            "model",
            "version",
            "sequence",
            "fence",
            "is_poll",
            "tries",
            "result",
            "said",
        ),
        "An order to an engine, and how it ended.",
    ),
    Event(
        "owner",
        "report",
        ("endpoint", "sequence", "held", "arriving", "running", "told"),
        "What an engine holds was read; running are the calls that it reports, "
        "told those that instances told of.",
    ),
    Event("owner", "report_failed", ("endpoint", "error"), "It could not be read."),
    Event(
        "placing",
        "endpoint_silent",
        ("endpoint",),
        "No stream that it generates heard anything; it is left for a while.",
    ),
    Event(
        "rests",
        "endpoint_resting",
        ("endpoint", "asked"),
        "An endpoint of the interface `openai` turned this instance away and asked "
        "for so many seconds without calls from it.",
    ),
    Event(
        "standings",
        "endpoint_leaving",
        ("endpoint", "service", "heard", "status", "age"),
        "An endpoint said in an answer that it leaves (of that status, to what was "
        "sent age seconds before); it takes no new calls.",
    ),
    Event(
        "standings",
        "endpoint_resting",
        ("endpoint", "service", "asked", "seconds", "status", "age"),
        "An endpoint turned this instance away and asked for so many seconds without "
        "calls from it; it is given seconds. Of one endpoint a line a second at most.",
    ),
    Event(
        "standings",
        "endpoint_rested",
        ("endpoint", "service"),
        "Its rest is over: a call tries it, then others follow.",
    ),
    Event(
        "standings",
        "header_unknown",
        ("header", "endpoint", "service"),
        "An answer bears a header that no table of the adapter lists; told once a "
        "name and process.",
    ),
    Event(
        "platform",
        "header_unknown",
        ("header",),
        "An answer of the store bears a header that no table of the adapter lists; "
        "told once a name and process.",
    ),
    Event(
        "subscription",
        "list_passed_over",
        ("told", "known"),
        "The aggregator's list is of a lower position, [era, version], than the one "
        "known here; told of the first in a row.",
    ),
    Event(
        "subscription",
        "source_chosen",
        ("address", "before"),
        "The aggregator that this instance hears changed.",
    ),
)
