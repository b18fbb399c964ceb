"""Define the messages between instances, aggregators and owners of zones.

An instance that owns a zone's engines is an aggregator as well: it receives
the updates of the owners of all zones and forwards them to the instances that
subscribe to it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from roadlift.core.codec import message


@message("su")
class Subscribe(NamedTuple):
    """Report an aggregator's liveness and its usage to an owner.

    ``members`` counts the instances that it represents, including itself;
    ``count``, ``is_whole``, ``uses`` and ``reading`` are as in
    ``UsageReport``; ``fence`` and ``serial`` are of the last update from the
    owner. With ``is_lacking`` updates after it were lost. ``samples`` are as
    in ``UsageReport``.
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
    samples: Sequence = ()


@message("sp")
class Pulse(NamedTuple):
    """Report an owner's liveness and its latest update to an aggregator.

    ``instances`` counts those that the aggregators represent; with
    ``is_ready`` the owner may give orders; unless ``is_complete`` it lacks
    some of the aggregator's running calls, which then sends a full report;
    ``loads`` are as in EngineLoads; ``list_age`` is the seconds since the
    owner has read the list of endpoints.
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
    """Send an aggregator the load of engines whose load changed.

    ``loads`` are [engine, running calls, unread prompt tokens, free adapter
    slots, loads in progress or queued, seconds that a load takes, seconds that
    a prompt token takes, fraction of the time that prompts take], of all
    instances.
    """

    zone: str
    loads: list


@message("sl")
class Listing(NamedTuple):
    """Send all adapters of a zone's engines, as of the update ``serial``.

    ``engines`` are [engine, [[base model, adapter, version], ...]]. For an
    engine that the owner has not read yet, earlier updates remain valid.
    """

    zone: str
    fence: int
    serial: int
    engines: list


@message("sn")
class News(NamedTuple):
    """Send the changes at engines after the update ``since`` to ``serial``.

    ``changes`` are in the format of ``pack_changes``: [engine, base model,
    [adapter, version, adapter, ...]]. A version of -1 means that the engine no
    longer holds the adapter; with an empty base model, that all earlier
    updates about the engine are void.
    """

    zone: str
    fence: int
    since: int
    serial: int
    changes: list


@message("so")
class Loaded(NamedTuple):
    """Notify an instance at once that an adapter it requested is loaded."""

    endpoint: str
    base: str
    adapter: str
    version: int


@message("sa")
class Ask(NamedTuple):
    """Request an owner to load an adapter at an engine: a load request.

    ``least`` is the oldest version that will do; ``urgency`` the fields of an
    ``Urgency``; ``is_missing`` is set if the engine has just refused a call
    because it lacks the adapter, ``is_forwarded`` if an aggregator forwarded
    the request.
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
    """Report that an owner will not load an adapter at an engine soon."""

    zone: str
    endpoint: str
    base: str
    adapter: str


@message("sh")
class Heartbeat(NamedTuple):
    """Report an instance's liveness and its usage to an aggregator.

    ``home`` is the instance's local zone, ``is_candidate`` whether it can
    acquire leases; with ``is_probe`` it does not subscribe, and is
    unsubscribed if it did. ``stream``, ``serial`` and ``list_serial`` are of
    the last update from the aggregator; with ``is_lacking`` updates after it
    were lost. ``operator_place`` is the packed position of the newest operator
    row that it knows, -1 while it reads them all. ``at`` is the instance's own
    time, which the reply repeats, or 0 if it requests none. ``count`` and
    ``is_whole`` are as in ``UsageReport``; ``zones`` are [zone, uses,
    reading]. ``link_mbps`` is the bandwidth of the instance's link.
    ``samples`` are as in ``AllZonesReport``.
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
    samples: Sequence = ()


@message("sx")
class HandOver(NamedTuple):
    """Notify an instance that a zone's lease is released for it to acquire."""

    zone: str


@message("sr")
class HeartbeatReply(NamedTuple):
    """Report an aggregator's liveness and its latest update to an instance.

    ``stream`` identifies the updates of one run of the aggregator at
    ``address``; unless ``is_serving`` it holds no lease. ``instances`` counts
    all known instances, ``members`` those that subscribe here. Unless
    ``is_complete`` some of the instance's running calls are unknown here, and
    it sends a full report. ``owners`` are the fields of ``OwnerLiveness``. The
    list of endpoints, as of ``list_serial`` of the stream and the store's
    packed position ``list_place``, was read ``list_age`` seconds ago;
    ``operator_place`` is of the newest operator row as of ``operator_age``
    seconds ago. ``asked_at`` repeats the heartbeat's ``at``.
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


class OwnerLiveness(NamedTuple):
    """The last liveness signal of a zone's owner, ``age`` seconds ago.

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
    """Forward the changes at the engines of all zones since the last digest.

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
    """Forward the full state of engines, as in Listing and EngineLoads."""

    stream: int
    serial: int
    engines: list
    loads: list


@message("sw")
class ListNews(NamedTuple):
    """Send changes of the list of endpoints to an aggregator's subscribers.

    The list is as of the store's packed position ``place``; ``changed`` are
    endpoints in the format of ``encode_endpoint``; ``gone`` are ids, and
    ``kept`` the ids of entries that vanished after an outage and may
    reappear; with ``is_whole`` the list has no other entries.
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
    """Forward rows of the operator's table.

    ``rows`` are [key, packed position, compressed value], as in ``PackedRow``:
    all that are newer than the packed position ``since``. The oldest row of an
    evacuation among them was written ``age`` seconds ago; negative if that is
    not known.
    """

    stream: int
    since: int
    rows: list
    age: float = -1.0


@message("sc")
class CrashNews(NamedTuple):
    """Share crash evidence: under which calls endpoints crashed.

    ``signs`` are the fields of each ``CrashEvidence``, and ``parts`` of those
    against parts of prompts. The sender listens at ``address``; with
    ``wants_all`` it sends all that it has, and requests the same in return.
    """

    address: str
    signs: list
    wants_all: bool
    parts: Sequence = ()


@message("sk")
class CrashSum(NamedTuple):
    """Send a checksum of the crash evidence of the process at ``address``."""

    address: str
    checksum: int


@message("iu")
class InstanceUse(NamedTuple):
    """Report an instance's use of shared allowances and services.

    ``process`` distinguishes the runs of an instance; ``organisations`` are
    the fields of each ``Use`` of an allowance, ``services`` those of each
    ``ZoneLoad``; ``at`` is the instance's own time, which the answer repeats.
    With ``is_leaving`` the instance reports to another aggregator from now on.
    """

    address: str
    process: int
    organisations: list
    services: list
    at: float
    is_leaving: bool


@message("il")
class SendAsk(NamedTuple):
    """Request a permit to send to a rate-limited endpoint from a zone's owner.

    The process at ``address`` applies ``limit``, in calls a second, or None.
    With ``is_named`` the endpoint announced it in the answer to a send on
    ``basis``, else the owner sent it with that basis. ``patience`` is the
    longest wait in seconds, negative if no permit is requested; ``spent``
    counts sends without a permit. ``via`` is the aggregator that forwards the
    request and the answer. ``lasts`` is the seconds until the limit ends by
    itself, or negative if it holds until the endpoint announces another.
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
    lasts: float = -1.0


@message("ig")
class SendGrant(NamedTuple):
    """Answer a permit request: when a send may begin, or that none is free.

    ``number`` and ``patience`` are the request's, ``limit`` and ``basis`` the
    owner's; the endpoint last announced the limit ``age`` seconds ago.
    ``delay`` is in seconds, until the send if ``is_given``, else until a
    permit is free.
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


@message("ic")
class SlotRequest(NamedTuple):
    """Claim slots of an endpoint that bears few rejections.

    The process listens at ``address``; ``via`` is the aggregator that forwards
    the request. ``claim`` are the fields of a ``SlotClaim``. The endpoint
    bears ``rejection_limit`` rejections a second, as of ``age`` seconds ago;
    None if it announced no limit then.
    """

    address: str
    via: str
    zone: str
    endpoint: str
    rejection_limit: float | None
    age: float
    claim: list


@message("ir")
class SlotReply(NamedTuple):
    """Report which slots of an endpoint a process may use.

    ``lease`` are the fields of a ``SlotLease``; it is empty where the endpoint
    bears any number of rejections.
    """

    address: str
    endpoint: str
    rejection_limit: float | None
    age: float
    lease: list


@message("it")
class InstanceTotals(NamedTuple):
    """Report the use of all instances that report to an aggregator to another.

    ``members`` counts them; the lists are as in InstanceUse.
    """

    address: str
    process: int
    members: int
    organisations: list
    services: list


@message("is")
class SharedStates(NamedTuple):
    """Send an instance the state of shared allowances and services.

    ``organisations`` are the fields of each ``FleetState``; ``services`` are
    as in InstanceUse, of all instances.
    """

    address: str
    organisations: list
    services: list
    asked_at: float


@message("in")
class LimitNews(NamedTuple):
    """Send the rate limits that endpoints have announced.

    ``limits`` are the fields of each ``ReportedLimit``. With ``is_own`` they
    are of the zones of the aggregator at ``address``, sent to another
    aggregator; else of all zones, sent to an instance that requested them at
    its time ``asked_at``. ``brittle`` are the fields of each ``Brittleness``.
    """

    address: str
    is_own: bool
    limits: list
    asked_at: float
    brittle: Sequence = ()


@message("iv")
class LeavingNews(NamedTuple):
    """Send an aggregator the drain notice of an endpoint.

    ``endpoint`` is the id of that run of it; with ``is_passed_on`` an
    aggregator forwards it to the others.
    """

    address: str
    endpoint: str
    is_passed_on: bool


@message("sfg")
class FindGateways(NamedTuple):
    """Ask an instance whether it reaches endpoints, and whom else to ask."""

    address: str


@message("sgw")
class GatewayReply(NamedTuple):
    """Tell where an instance takes calls, for one that reaches no endpoint.

    ``front`` is empty if it reaches none itself; ``subscribers`` are the
    addresses of other instances.
    """

    address: str
    zone: str
    front: str
    subscribers: list


@message("sos")
class StreamOrigins(NamedTuple):
    """Replicate which services and software versions began streams.

    ``origins`` are [service, version, digests of the streams, joined]. With
    ``is_passed_on`` they come from an aggregator, and stay with the recipient.
    """

    address: str
    origins: list
    is_passed_on: bool


@message("sfo")
class FindOrigin(NamedTuple):
    """Query what began a stream of a service; the digest may be empty.

    An aggregator queries the other owners as well, unless ``is_passed_on``.
    """

    address: str
    digest: bytes
    service: str
    is_passed_on: bool


@message("sor")
class OriginReply(NamedTuple):
    """Return what is known of the origin of a stream; see ``Finding``.

    ``queried`` is the service of the query; ``service`` and ``software`` are
    empty unless the origin is known, ``age`` is in seconds. Unless
    ``is_complete`` some owners have not answered.
    """

    address: str
    digest: bytes
    queried: str
    basis: str
    service: str
    software: str
    age: float
    is_complete: bool
