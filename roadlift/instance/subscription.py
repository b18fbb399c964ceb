"""Report this process's calls to the owners, and receive engine updates.

An instance that owns a zone exchanges messages with the owners directly and
reports on behalf of its subscribers too. Every other instance exchanges
messages with an aggregator.
"""

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel, components
from roadlift.daemon.transport import Transport
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.instance.ownerstreams import OwnerStreams
from roadlift.instance.sourcestream import SourceStream
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.members import MemberCalls, UseChange
from roadlift.serving.messages import Ask, Denial, Heartbeat
from roadlift.serving.usagereports import PromptSample, UsageReports

CHECK_INTERVAL = 0.1  # Seconds between checks for reports that are due.


@components.register("subscription")
class Subscription:
    """Exchanges reports and updates with the owners or with an aggregator."""

    name = "subscription"
    needs = ("follower", "knowledge", "leases", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._usage_reports = UsageReports()
        self._members = MemberCalls()
        self._owners = OwnerStreams(
            kernel,
            lambda zone: self._usage_reports.collect(zone, self._count_reading),
            self._usage_reports.request_full_report,
            lambda: 1 + self.count_members(),
        )
        self._source = SourceStream(
            kernel,
            lambda: self._usage_reports.collect_all(self._count_reading),
            self._usage_reports.request_full_aggregator_report,
        )
        self._is_direct = False
        self._timer = None
        self.count_members = lambda: 0
        self._leases.on_change.append(lambda zone: self._tick())

    def start(self) -> None:
        """Start sending reports and receiving updates."""
        self._source.open()
        self._timer = self._kernel.loop.call_every(CHECK_INTERVAL, self._tick)

    def close(self) -> None:
        """Stop sending reports and receiving updates."""
        self._timer.close()
        self._owners.close()
        self._source.close()

    @property
    def source(self) -> str:
        """Return the address of the aggregator in use, or an empty string."""
        return "" if self._is_direct else self._source.address

    def _tick(self) -> None:
        is_direct = bool(self._leases.list_held())
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            self._switch()
        if is_direct:
            self._owners.tick()
        else:
            self._source.tick()

    def _switch(self) -> None:
        """Switch from an aggregator to the owners, or the reverse."""
        self._usage_reports.request_full_reports()
        if self._is_direct:
            self._source.close()
            self._owners.open()
        else:
            self._owners.close()
            self._source.open()

    # Local calls.

    def record_use(self, endpoint: Endpoint, model: Model, change: int) -> None:
        """Count a call of this process that begins (1) or ends (-1)."""
        begun = max(0, change)
        self._usage_reports.note_use(endpoint.zone, endpoint.id, model, begun, change)
        self._schedule(endpoint.zone)

    def record_prompt(self, endpoint: Endpoint, sample: PromptSample) -> None:
        """Record a prompt of this process that was sent or read."""
        self._usage_reports.note_sample(endpoint.zone, sample)
        self._schedule(endpoint.zone)

    def record_reading_change(self, endpoint: Endpoint) -> None:
        """Record that the unread prompt tokens of local calls have changed."""
        self._usage_reports.note_reading(endpoint.zone, endpoint.id)
        self._schedule(endpoint.zone)

    def _schedule(self, zone: str) -> None:
        if self._is_direct:
            self._owners.schedule_subscription(zone)
        else:
            self._source.schedule_heartbeat()

    def _count_reading(self, endpoint: str) -> int:
        local = self._knowledge.workload.count_local_reading(endpoint)
        return local + self._members.count_reading(endpoint)

    def send_load_request(self, ask: Ask) -> None:
        """Send a load request to the zone's owner or to the aggregator.

        If neither is known, the request is denied immediately.
        """
        owner = self._leases.find_owner(ask.zone)
        address = owner if self._is_direct else self._source.address
        if address:
            self._transport.send(address, ask)
            return
        denial = Denial(ask.zone, ask.endpoint, ask.base, ask.adapter)
        self._transport.send(ask.address, denial)

    # Calls of subscribers, if this process is an aggregator.

    def record_member_usage(self, heartbeat: Heartbeat) -> None:
        """Record the calls that a subscriber reports in its heartbeat."""
        member = heartbeat.address
        if heartbeat.is_whole:
            self.forget_member(member)
        for zone, uses, reading in heartbeat.zones:
            self._apply_changes(self._members.apply_uses(member, zone, uses))
            for endpoint, tokens in reading:
                self._members.note_reading(member, zone, endpoint, tokens)
                self._usage_reports.note_reading(zone, endpoint)
            self._owners.schedule_subscription(zone)
        for zone, *fields in heartbeat.samples:
            self._usage_reports.note_sample(zone, read_fields(PromptSample, fields))
            self._owners.schedule_subscription(zone)

    def forget_member(self, member: str) -> None:
        """Remove the calls that a subscriber reported."""
        for zone, endpoint in self._members.list_reading(member):
            self._usage_reports.note_reading(zone, endpoint)
        self._apply_changes(self._members.forget(member))

    def _apply_changes(self, changes: list[UseChange]) -> None:
        for location, begun, change in changes:
            self._usage_reports.note_use(*location, begun, change)
            self._owners.schedule_subscription(location.zone)
