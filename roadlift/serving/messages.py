"""Define the messages between instances, aggregators and owners of zones.

An instance that owns a zone's engines is an aggregator as well: it hears the
owners of all zones, and passes what they tell on to the instances that
subscribe to it.
"""

from typing import NamedTuple

from roadlift.core.codec import message


@message("su")
class Subscribe(NamedTuple):
    """Tell an owner that an aggregator lives, and what its calls used since.

    ``members`` counts the instances that it speaks for, itself among them;
    ``count``, ``is_whole``, ``uses`` and ``reading`` are as in Telling;
    ``fence`` and ``serial`` are of the last news from the owner, behind
    which some were lost where ``is_lacking``.
    """

    address: str
    zone: str
    fence: int
    serial: int
    is_lacking: bool
    members: int
    count: int
    is_whole: bool
    uses: list
    reading: list


@message("sp")
class Pulse(NamedTuple):
    """Tell an aggregator that the owner lives, and how far its news go.

    ``instances`` counts those that the aggregators speak for; ``is_ready``
    tells that the owner may give orders; ``is_complete`` that it knows all
    calls of the aggregator that run, which else tells them; ``loads`` are as
    in EngineLoads; ``list_age`` is the seconds since the owner has read the
    list of endpoints.
    """

    zone: str
    fence: int
    serial: int
    instances: int
    is_ready: bool
    is_complete: bool
    loads: list
    list_age: float


@message("se")
class EngineLoads(NamedTuple):
    """Tell an aggregator how loaded engines are, where that changed.

    ``loads`` are [engine, calls that run there, prompt tokens that are not
    read yet, free places for adapters, loads on their way or waiting, seconds
    that one takes], of all instances.
    """

    zone: str
    loads: list


@message("sl")
class Listing(NamedTuple):
    """Tell all that the engines of a zone hold, as of the news ``serial``.

    ``engines`` are [engine, [[base model, adapter, version], ...]]; of one
    that the owner has not read yet, what was told before still stands.
    """

    zone: str
    fence: int
    serial: int
    engines: list


@message("sn")
class News(NamedTuple):
    """Tell what changed at engines since the news ``since``, up to ``serial``.

    ``changes`` are as pack_changes makes them, [engine, base model, [adapter,
    version, adapter, ...]]; a version of -1 tells that the engine does not
    hold the adapter any more, and with an empty base model, that it holds
    nothing of what was told before.
    """

    zone: str
    fence: int
    since: int
    serial: int
    changes: list


@message("so")
class Loaded(NamedTuple):
    """Tell an instance that asked for an adapter at once that it is there."""

    endpoint: str
    base: str
    adapter: str
    version: int


@message("sa")
class Ask(NamedTuple):
    """Ask an owner to load an adapter at an engine.

    ``least`` is the oldest version that will do; ``urgency`` the fields of an
    Urgency; ``is_missing`` tells that the engine has just refused a call for
    want of the adapter; ``is_forwarded`` that an aggregator passed it on.
    """

    address: str
    zone: str
    endpoint: str
    base: str
    adapter: str
    least: int
    urgency: list
    is_missing: bool
    is_forwarded: bool


@message("sd")
class Denial(NamedTuple):
    """Tell that an owner will not load an adapter at an engine soon."""

    zone: str
    endpoint: str
    base: str
    adapter: str


@message("sh")
class Heartbeat(NamedTuple):
    """Tell an aggregator that an instance lives, and what it used since.

    ``home`` is the instance's own zone, ``is_candidate`` whether it can take
    leases; with ``is_probe`` it does not subscribe, and is dropped if it did.
    ``stream``, ``serial`` and ``list_serial`` are of the last news from the
    aggregator, behind which some were lost where ``is_lacking``;
    ``operator_place`` is the packed position of the operator's newest row that
    it knows, -1 while it reads them all. ``at`` is the instance's own time,
    which the reply repeats, or 0 where it asks for none. ``count`` and
    ``is_whole`` are as in Telling; ``zones`` are [zone, uses, reading].
    ``link_mbps`` is the rate of the instance's link.
    """

    address: str
    home: str
    is_candidate: bool
    link_mbps: float
    is_probe: bool
    stream: int
    serial: int
    is_lacking: bool
    list_serial: int
    operator_place: int
    at: float
    count: int
    is_whole: bool
    zones: list


@message("sx")
class HandOver(NamedTuple):
    """Tell an instance that a zone's lease is given back for it to take."""

    zone: str


@message("sr")
class HeartbeatReply(NamedTuple):
    """Tell an instance that its aggregator lives, and how far its news go.

    ``stream`` names the news of one run of the aggregator at ``address``; one
    that is not ``is_serving`` has no lease. ``instances`` are all that are
    known, ``members`` those that subscribe here. ``is_complete`` tells that
    all calls of the instance that run are known, which else tells them.
    ``owners`` are the fields of OwnerSigns. The list of endpoints, as of
    ``list_serial`` of the stream and the store's packed position
    ``list_place``, was read ``list_age`` seconds ago; ``operator_place`` is of
    the operator's newest row as of ``operator_age`` seconds ago.
    """

    address: str
    stream: int
    serial: int
    is_serving: bool
    is_complete: bool
    instances: int
    members: int
    owners: list
    list_serial: int
    list_place: int
    list_age: float
    operator_place: int
    operator_age: float
    asked_at: float


class OwnerSign(NamedTuple):
    """The last sign of a zone's owner, ``age`` seconds ago.

    ``fence`` is of its term; ``list_age`` the seconds since it has read the
    list of endpoints.
    """

    zone: str
    address: str
    fence: int
    is_ready: bool
    age: float
    list_age: float


@message("sg")
class Digest(NamedTuple):
    """Pass on what changed at the engines of all zones since the last time.

    ``since``, ``serial`` and ``changes`` are as in News, ``loads`` as in
    EngineLoads.
    """

    stream: int
    since: int
    serial: int
    changes: list
    loads: list


@message("ss")
class Snapshot(NamedTuple):
    """Pass on all that is known of engines, as in Listing and EngineLoads."""

    stream: int
    serial: int
    engines: list
    loads: list


@message("sw")
class ListNews(NamedTuple):
    """Tell how the list of endpoints changed, to an aggregator's subscribers.

    The list is as of the store's packed position ``place``; ``changed`` are
    endpoints as ``encode_endpoint`` makes them; ``gone`` are ids, and ``kept``
    those of entries that vanished behind an outage and may come back; with
    ``is_whole`` the list holds nothing else.
    """

    stream: int
    serial: int
    place: int
    is_whole: bool
    changed: list
    gone: list
    kept: list


@message("sv")
class OperatorNews(NamedTuple):
    """Pass rows of the operator's table on.

    ``rows`` are [key, packed position, packed value] as OperatorRows packs
    them, all that are newer than the packed position ``since``.
    """

    stream: int
    since: int
    rows: list


@message("sc")
class CrashNews(NamedTuple):
    """Tell under which calls endpoints ended, as the fields of Signs.

    The sender listens at ``address``; with ``wants_all`` it tells all that it
    knows, and wants to be told the same.
    """

    address: str
    signs: list
    wants_all: bool


@message("sk")
class CrashSum(NamedTuple):
    """Tell a checksum of what the process at ``address`` knows of crashes."""

    address: str
    checksum: int


@message("iu")
class InstanceUse(NamedTuple):
    """Tell an aggregator what an instance uses of what all share.

    ``process`` tells the runs of an instance apart; ``organisations`` are the
    fields of Uses of allowances, ``services`` those of ZoneLoads; ``at`` is
    the instance's own time, which the answer repeats. With ``is_leaving`` it
    tells another one from now on.
    """

    address: str
    process: int
    organisations: list
    services: list
    at: float
    is_leaving: bool


@message("il")
class SendAsk(NamedTuple):
    """Ask the owner of a zone for a send to an endpoint that names a limit.

    The process at ``address`` goes by ``limit`` calls a second, or None; with
    ``is_named`` that is what an answer named to a send on ``basis``, else the
    owner told it on that. ``patience`` is in seconds, below 0 where no send is
    asked for; ``spent`` counts sends without a grant. ``via`` is the
    aggregator that passes the ask on, and the answer back.
    """

    address: str
    via: str
    process: str
    zone: str
    endpoint: str
    number: int
    patience: float
    limit: float | None
    is_named: bool
    basis: list
    spent: int


@message("ig")
class SendGrant(NamedTuple):
    """Answer an ask: from when a send may begin, or that none is free.

    ``number`` and ``patience`` are the ask's, ``limit`` and ``basis`` the
    owner's; the endpoint named it last ``age`` seconds ago. ``delay`` is in
    seconds, until the send or until one is free.
    """

    address: str
    endpoint: str
    number: int
    patience: float
    limit: float | None
    basis: list
    age: float
    is_given: bool
    delay: float


@message("it")
class InstanceTotals(NamedTuple):
    """Tell another aggregator what all instances that tell this one use.

    ``members`` counts them; the lists are as in InstanceUse.
    """

    address: str
    process: int
    members: int
    organisations: list
    services: list


@message("is")
class SharedStates(NamedTuple):
    """Tell an instance how what all share stands.

    ``organisations`` are the fields of FleetStates; ``services`` are as in
    InstanceUse, of all instances.
    """

    address: str
    organisations: list
    services: list
    asked_at: float


@message("in")
class LimitNews(NamedTuple):
    """Tell which endpoints name limits, as the fields of ToldLimits.

    With ``is_own`` they are of the zones of the aggregator at ``address``,
    told to another; else of all zones, told to an instance that asked at its
    time ``asked_at``.
    """

    address: str
    is_own: bool
    limits: list
    asked_at: float


@message("iv")
class LeavingNews(NamedTuple):
    """Tell an aggregator that an endpoint said that it leaves.

    ``endpoint`` is the id of that start of it; one that ``is_passed_on`` is
    told by an aggregator to the others.
    """

    address: str
    endpoint: str
    is_passed_on: bool
