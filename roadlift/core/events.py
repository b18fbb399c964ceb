"""List the log events of the interface ``routes``.

A line is a JSON object with time, level, instance, part (the name of the
component that wrote it), event and the fields of the event. A test checks
this list against the calls that log events.
"""

from typing import NamedTuple


class Event(NamedTuple):
    """One kind of log line.

    ``part`` is the name of the component that writes it.
    """

    part: str
    name: str
    fields: tuple[str, ...]
    meaning: str


EVENTS = (
    Event(
        "control",
        "control_costs",
        ("messages", "store_calls"),
        "The control plane's traffic since the start: [messages, bytes] by type and "
        "direction, and calls to the store by action and table.",
    ),
    Event("daemon", "reload", ("changed", "reason"), "The settings were reloaded."),
    Event(
        "exchange", "endpoint_ejected", ("endpoint", "error"), "Too many calls failed."
    ),
    Event(
        "crashes",
        "work_barred",
        ("identity", "ends", "seconds"),
        "That many endpoints crashed under calls or loads of that identity, which "
        "is quarantined for that time.",
    ),
    Event(
        "crashes",
        "work_cleared",
        ("identity", "basis", "ends"),
        "Work that was quarantined is admitted again: it completed successfully "
        "(run), endpoints survived calls with it (survival), or its row was deleted "
        "(row). That many endpoints had crashed under it.",
    ),
    Event(
        "crashes",
        "endpoint_checked",
        ("endpoint", "result", "cut", "unanswered", "delay"),
        "What was seen of an endpoint that many seconds after it cut calls off: a new "
        "connection was refused, closed, held or unreachable, its entry is unlisted, "
        "or it answered. Of the calls that were cut, unanswered had received nothing.",
    ),
    Event(
        "crashes",
        "endpoint_end_unknown",
        ("endpoint",),
        "An endpoint cut calls off, and nothing has shown since whether it ended.",
    ),
    Event(
        "crashes",
        "crash_row_failed",
        ("identity", "error"),
        "The row of quarantined work could not be written to the store.",
    ),
    Event(
        "crashes",
        "endpoint_ended",
        ("endpoint", "cut", "suspects", "bears", "rejected", "parts"),
        "An endpoint crashed, which cut that many calls of this instance; suspects "
        "are [identity, weight] of those that may be the cause. It announced that it "
        "bears so many rejections a second, and rejected that many of this "
        "instance's calls in its last second. parts are the identities of parts of "
        "prompts that may be the cause.",
    ),
    Event(
        "retries",
        "retries_used",
        ("service", "retries", "requests", "allowed", "instances", "age", "denied"),
        "What this process has used of a service's retry budget in the last window, "
        "and may use, with how many known instances it shares the slack; age is that "
        "of the process, and denied counts the retries refused since the last line. "
        "At most one line a second for each service.",
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
            "framing",
        ),
        "A send failed; given_up says why no retry follows. Calls of one identity "
        "request the same work; got is nothing, head or events, and framing what "
        "ends the answer: length, chunks or the close of its connection.",
    ),
    Event(
        "exchange",
        "send_silent",
        ("request", "endpoint", "got", "sends", "age"),
        "The engine of a call does not respond; another one is searched for while "
        "the send is kept. got is nothing, head or events.",
    ),
    Event(
        "exchange",
        "silence_ended",
        ("request", "endpoint", "outcome", "error", "age"),
        "What became of a send that was kept: resumed (its engine responded first), "
        "replaced (another engine continues the call), kept (no other could, as "
        "error says) or failed.",
    ),
    Event(
        "follower",
        "configuration_in_force",
        ("version", "routes", "organisations"),
        "A configuration replaced the previous one.",
    ),
    Event(
        "follower",
        "endpoint_draining",
        ("endpoint", "address", "service", "remaining", "version"),
        "An endpoint accepts no new calls.",
    ),
    Event(
        "follower", "endpoint_gone", ("endpoint", "version"), "Its entry was removed."
    ),
    Event(
        "follower",
        "endpoint_ready",
        ("endpoint", "address", "service", "remaining", "version"),
        "An endpoint is new, or accepts calls again.",
    ),
    Event(
        "follower",
        "history_gone",
        ("table", "era", "version"),
        "All rows are read again.",
    ),
    Event(
        "follower",
        "row_older",
        ("key", "told", "known"),
        "A row of the operator is older than what is in force, as happens after the "
        "store came back older; what is in force stays.",
    ),
    Event(
        "follower",
        "store_came_back_older",
        ("era", "before", "source", "operator", "list"),
        "The store lost its newest writes and continues from an older version. "
        "source is where this was detected; operator and list are the versions "
        "as of which the operator's rows and the list were known before.",
    ),
    Event("follower", "store_lost", ("table", "error"), "The store can't be read."),
    Event(
        "follower",
        "row_written_again",
        ("key",),
        "A row of the operator that was older in the store was written again.",
    ),
    Event(
        "follower",
        "store_regained",
        ("table", "era", "version"),
        "It can be read again.",
    ),
    Event("follower", "version_declared", ("model", "version"), "Older ones retire."),
    Event(
        "ingress",
        "call_ended",
        (
            "outcome",
            "request",
            "resumes",
            "route",
            "organisation",
            "service",
            "model",
            "endpoint",
            "sends",
            "runs",
            "status",
            "framing",
            "partial",
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
        "A call ended; runs of its sends may have run; steps are its decisions, with "
        "the age of the liveness signal of the engine's owner and the version of the "
        "endpoint's software at each send; resumes is the call that brought the first "
        "event of a stream that this one resumes; framing is that of the endpoint's "
        "answer, and partial the bytes of an event that it left incomplete. Of calls "
        "in time that resume no stream, one in one_in is logged.",
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
        "A request was refused before it became a call, with the reasons where "
        "callers have keys: for how long a change of the configuration may have "
        "gone unnoticed, the caller's organisation, this instance's share of its "
        "allowance, its usage here, its demand per second, and the age of the "
        "aggregator's updates. At most 20 lines per second and error are written; "
        "left_out counts the preceding ones that were not.",
    ),
    Event(
        "ingress",
        "adapters_served",
        ("models", "left_out"),
        "The adapters of calls served since the previous line, separated by spaces; "
        "left_out counts calls of further adapters.",
    ),
    Event(
        "ingress",
        "drained",
        ("cut", "connections"),
        "Draining ended; cut is the number of calls that remain, connections the "
        "numbers of callers' connections by what they do.",
    ),
    Event("ingress", "leaving", ("running",), "SIGTERM was received."),
    Event("ingress", "started", ("version",), "The process serves."),
    Event(
        "ingress",
        "stopped",
        ("cut", "connections"),
        "The process ends, with these calls and connections.",
    ),
    Event("leases", "lease_gained", ("zone", "fence", "quiet"), "It was acquired."),
    Event("leases", "lease_lost", ("zone", "reason"), "It is no longer held."),
    Event(
        "leases",
        "lease_unwritten",
        ("zone", "fence"),
        "The store may have lost this instance's term as it came back older; the "
        "term is written again before it expires.",
    ),
    Event("leases", "lease_offered", ("zone",), "It was released for this one."),
    Event("leases", "lease_released", ("zone",), "It was released."),
    Event(
        "limits",
        "limit_changed",
        ("endpoint", "service", "limit", "before", "heard", "status", "age"),
        "An endpoint's limit, in calls per second, became known here, changed or "
        "expired. It was received in an answer (of that status, to a call sent age "
        "seconds before), from the owner of its zone, or in an update, or follows "
        "from the list as the endpoint is cold.",
    ),
    Event(
        "limits",
        "limit_given_out",
        ("endpoint", "limit", "before", "asker"),
        "This owner grants the sends to an endpoint by a new limit, or by none, as "
        "an instance reported.",
    ),
    Event(
        "owner",
        "load_denied",
        ("endpoint", "model", "reason", "held", "arriving", "in_use", "running"),
        "An engine will not load an adapter soon. The counts are of its copies "
        "held, loading and in use, and of the calls that instances reported.",
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
        "An order to an engine, and its result.",
    ),
    Event(
        "owner",
        "report",
        ("endpoint", "sequence", "held", "arriving", "running", "told"),
        "An engine's state was read; running are the calls that it reports, told "
        "those that instances reported.",
    ),
    Event("owner", "report_failed", ("endpoint", "error"), "It could not be read."),
    Event(
        "placing",
        "endpoint_silent",
        ("endpoint",),
        "None of its streams received anything; it is avoided for some time.",
    ),
    Event(
        "rests",
        "endpoint_resting",
        ("endpoint", "asked"),
        "An endpoint of the interface `openai` rejected a call of this instance and "
        "requested a back-off of that many seconds.",
    ),
    Event(
        "standings",
        "endpoint_leaving",
        ("endpoint", "service", "heard", "status", "age"),
        "An endpoint announced in an answer that it is draining (of that status, to "
        "what was sent age seconds before); it gets no new calls.",
    ),
    Event(
        "owner",
        "copy_requested",
        ("model", "endpoint", "zone", "full", "fill", "rate"),
        "An owner requests a further copy of an adapter at an engine, as another one "
        "(full) reads prompts for that fraction of its time, and gets that many calls "
        "a second for the adapter.",
    ),
    Event(
        "evacuations",
        "zone_evacuated",
        ("zone", "endpoints", "age", "stops"),
        "The operator has taken a zone with that many endpoints out of service. The "
        "row may have gone unnoticed here for age seconds; in stops seconds nothing "
        "is sent to the zone any more.",
    ),
    Event(
        "evacuations",
        "zone_returned",
        ("zone", "seconds"),
        "A zone that was evacuated for that time gets calls again.",
    ),
    Event(
        "evacuations",
        "service_evacuated",
        ("service", "zone"),
        "The evacuation of a zone leaves a service no endpoint: its calls are refused.",
    ),
    Event(
        "standings",
        "endpoint_resting",
        ("endpoint", "service", "asked", "seconds", "status", "age"),
        "An endpoint rejected a call of this instance and requested a back-off of "
        "asked seconds; seconds are applied. At most one line per second and "
        "endpoint.",
    ),
    Event(
        "brittleness",
        "endpoint_brittle",
        ("endpoint", "service", "bears", "before"),
        "An endpoint announced in an answer how many calls it may have to reject in "
        "a second before it crashes, or with null that it bears any number.",
    ),
    Event(
        "slots",
        "slots_reduced",
        ("endpoint", "usable", "slots", "granted", "rejecting"),
        "An endpoint that bears few rejections rejected a call of that process, where "
        "so many of its slots were granted: its owner leases fewer for a while.",
    ),
    Event(
        "standings",
        "endpoint_rested",
        ("endpoint", "service"),
        "Its back-off is over: one call tries it before others follow.",
    ),
    Event(
        "standings",
        "header_unknown",
        ("header", "endpoint", "service"),
        "An answer has a header that no table of the adapter lists; logged once per "
        "name and process.",
    ),
    Event(
        "platform",
        "header_unknown",
        ("header",),
        "An answer of the store has a header that no table of the adapter lists; "
        "logged once per name and process.",
    ),
    Event(
        "subscription",
        "list_passed_over",
        ("told", "known"),
        "The aggregator's list has a lower position, [era, version], than the one "
        "known here; only the first in a row is logged.",
    ),
    Event(
        "subscription",
        "source_chosen",
        ("address", "before"),
        "The aggregator that this instance receives updates from changed.",
    ),
    Event(
        "isolation",
        "isolated",
        (),
        "No endpoint is reached from here: new connections to endpoints of several "
        "zones and services failed.",
    ),
    Event(
        "isolation",
        "isolation_ended",
        (),
        "Endpoints are reached again; what was held against them is forgotten.",
    ),
    Event(
        "forwarding",
        "call_forwarded",
        ("request", "address", "outcome", "status", "error", "seconds"),
        "A call that came while no endpoint was reached was given to the instance "
        "at address, whose call_ended tells the rest.",
    ),
    Event(
        "origins",
        "versions_declared",
        ("service", "versions", "since"),
        "Streams of a service may begin on these versions of its software; the row "
        "tells all that did since that time of the store, in seconds.",
    ),
    Event(
        "origins",
        "versions_undeclared",
        ("service", "error"),
        "The row of a service was not written; it is tried again.",
    ),
    Event(
        "origins",
        "streams_read",
        ("streams", "rows"),
        "The streams that began beside several versions were read from the store.",
    ),
    Event(
        "origins",
        "streams_unwritten",
        ("streams", "error"),
        "Streams wait to be written to the store; it is tried again.",
    ),
    Event(
        "origins",
        "origins_unread",
        ("error",),
        "What began streams was not read from the store.",
    ),
    Event(
        "resumption",
        "stream_looked_up",
        (
            "request",
            "resumes",
            "basis",
            "service",
            "software",
            "age",
            "complete",
            "error",
            "seconds",
        ),
        "A call resumes a stream that this process did not begin, or is refused. The "
        "stream began at that version of a service's software: an instance remembers "
        "it (remote), recorded age seconds ago, the store has it (stored), or no other "
        "version of the service was listed or declared (only_version). Unless "
        "complete, an instance did not answer that may know it.",
    ),
    Event(
        "crashes",
        "endpoint_end_doubted",
        ("endpoint", "cut"),
        "Nothing listens at an endpoint that cut calls, and no other one is reached "
        "from here either, so that its end is not counted.",
    ),
    Event(
        "holdings",
        "holding_limits",
        ("total", "large", "connections"),
        "What may be held for callers: bytes in all, bytes of large calls, and "
        "connections. They follow from the machine's memory and descriptors.",
    ),
    Event(
        "holdings",
        "callers_yielded",
        ("reasons", "held", "most", "connections"),
        "Callers were refused or cut for want of memory or descriptors since the last "
        "such line, by what they had; held bytes of most. One line in 10 s at most.",
    ),
)
