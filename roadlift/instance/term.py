"""Manage the engines and the subscribers of one zone as its owner."""

from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.crashes.ledger import CrashLedger
from roadlift.daemon.transport import Transport
from roadlift.decisions.crashrecord import WEAK, CrashEvidence
from roadlift.decisions.denials import Denials
from roadlift.decisions.urgency import Urgency
from roadlift.decisions.workload import EngineLoad, ReportedLoads
from roadlift.instance.engine import OwnedEngine
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.provenloads import ProvenLoads
from roadlift.instance.replication import Replication
from roadlift.serving.calls import Model
from roadlift.serving.copies import CopyState
from roadlift.serving.directory import Endpoint
from roadlift.serving.engine import DenialReason, EngineRecord
from roadlift.serving.identity import identify_load
from roadlift.serving.loads import BaseLoadLimiter, LoadTimes
from roadlift.serving.messages import (
    Ask,
    Denial,
    EngineLoads,
    Listing,
    Loaded,
    News,
    Pulse,
    Subscribe,
)
from roadlift.serving.updatelog import CatchUp, Change, UpdateLog, pack_changes
from roadlift.serving.usage import Completeness

# Seconds between two updates of what engines hold. Instances that requested an
# adapter are notified at once; others may send a call to a copy that is gone,
# which the engine then rejects.
UPDATE_INTERVAL = 0.05
LOADS_INTERVAL = 0.05  # Seconds between two updates of the engines' loads.
PULSE_INTERVAL = 0.2  # Minimum seconds between two pulses to one subscriber.
LOADS_MAX_AGE = 0.005  # Seconds for which computed loads are reused.
# Seconds without a message after which a subscriber is removed.
SUBSCRIBER_TIMEOUT = 4.0

log = ComponentLog("owner")


class Term:
    """The time in which this process owns one zone."""

    def __init__(self, kernel: Kernel, zone: str, fence: int) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._follower = kernel.get(Follower)
        self._ledger = kernel.get(CrashLedger)
        self._proven = kernel.get(ProvenLoads)
        self._zone = zone
        self._updates = UpdateLog()
        self._subscribers: dict[str, float] = {}
        self._members: dict[str, int] = {}
        self._pulsed_at: dict[str, float] = {}
        self._sent_loads: dict[str, ReportedLoads] = {}
        self._completeness = Completeness()
        self._changes: list[Change] = []
        self._updates_timer = None
        self._loads_timer = None
        self._requesters: dict[tuple[str, Model], set[str]] = {}
        self._times = LoadTimes()
        self._denials = Denials()
        self._base_loads: BaseLoadLimiter | None = None
        self._replication = Replication(kernel, zone)
        self._loads: dict[str, EngineLoad] = {}
        self._loads_at = float("-inf")
        self._is_evacuated = False
        self._began_at = kernel.clock.now()
        self.fence = fence
        self.engines: dict[str, OwnedEngine] = {}

    @property
    def reaches_no_engine(self) -> bool:
        """Return whether the zone has several engines and all are cut off."""
        engines = self.engines.values()
        return len(engines) > 1 and all(engine.is_cut_off for engine in engines)

    def measure_age(self) -> float:
        """Return the seconds since the term began."""
        return self._kernel.clock.now() - self._began_at

    def close(self) -> None:
        """Stop sending orders, and notify the subscribers.

        The last pulse lets them look for another owner at once.
        """
        self._replication.close()
        for engine in self.engines.values():
            engine.close()
        if self._updates_timer is not None:
            self._updates_timer.close()
            self._send_updates()
        if self._loads_timer is not None:
            self._loads_timer.close()
        now = self._kernel.clock.now()
        for address in self._subscribers:
            self._transport.send(address, self._make_pulse(address, now, []))

    def update(self) -> None:
        """Add new engines of the zone, and remove those that are gone."""
        configuration = self._follower.configuration
        if configuration is None:
            return
        found = {}
        for endpoint in self._follower.directory.list_all():
            service = configuration.services.get(endpoint.service)
            is_engine = service is not None and service.engine is not None
            if endpoint.zone == self._zone and is_engine and not endpoint.is_draining:
                found[endpoint.id] = (endpoint, service.engine)
        gone = set(self.engines) - set(found)
        self._replication.forget(gone)
        for name in gone:
            engine = self.engines.pop(name)
            engine.close()
            if self._follower.directory.get(name) is None:
                self._record_crash(engine)
        self._update_evacuation()
        for endpoint, shape in found.values():
            if endpoint.id not in self.engines:
                self._add(endpoint, shape)

    def _update_evacuation(self) -> None:
        """Send nothing to the zone's engines while it is evacuated."""
        is_evacuated = self._zone in self._follower.directory.evacuated_zones
        if is_evacuated == self._is_evacuated:
            return
        self._is_evacuated = is_evacuated
        for engine in self.engines.values():
            if is_evacuated:
                self._suspend(engine)
            else:
                engine.resume()

    def _suspend(self, engine: OwnedEngine) -> None:
        engine.suspend()
        engine.record.deny_all(DenialReason.EVACUATED, self._kernel.clock.now())
        self._publish_changes(engine)

    def _add(self, endpoint: Endpoint, shape) -> None:
        base_models = tuple(model.name for model in shape.models)
        if self._base_loads is None:
            zones = len(self._kernel.get(Leases).list_zones())
            self._base_loads = BaseLoadLimiter(shape.loads_per_second / zones)
        record = EngineRecord(
            shape.adapter_slots,
            base_models,
            self._times,
            self._base_loads,
            self._denials,
        )
        engine = OwnedEngine(self._kernel, self._zone, endpoint, record)
        engine.on_change = self._publish_changes
        engine.on_report = self._publish_changes
        engine.on_crash = self._record_crash
        self.engines[endpoint.id] = engine
        if self._is_evacuated:
            engine.suspend()
        # Instances may have reported running calls there before the engine was
        # known here; those reports were ignored.
        self._completeness.mark_all_incomplete()
        engine.advance()

    def handle_version(self, model: Model, version: int) -> None:
        """Retire the copies of an adapter that are older than a version."""
        for engine in self.engines.values():
            engine.record.retire(model, version)
            self._publish_changes(engine)

    def handle_subscription(self, message: Subscribe) -> None:
        """Count the reported uses, and send a subscriber what it lacks."""
        now = self._kernel.clock.now()
        self._subscribers[message.address] = now
        self._members[message.address] = message.members
        self._completeness.record(message.address, message.count, message.is_whole)
        if message.is_whole:
            self._forget_calls(message.address)
        for endpoint, base, adapter, begun, running in message.uses:
            engine = self.engines.get(endpoint)
            if engine is None:
                continue
            model = Model(base, adapter)
            if begun:
                engine.record.record_use(model, begun, now)
                self._replication.record_calls(endpoint, model, begun)
            engine.record.usage.record_running(message.address, model, running)
        for endpoint, tokens in message.reading:
            if endpoint in self.engines:
                self.engines[endpoint].record.usage.record_reading(
                    message.address, tokens
                )
        self._replication.record_samples(
            fields for fields in message.samples if fields[0] in self.engines
        )
        if message.uses or message.reading:
            self._schedule_loads()
        self._catch_up(message, now)
        self._send_pulse(message.address, now)

    def _send_pulse(self, address: str, now: float) -> None:
        """Answer an aggregator, but not each of its frequent reports."""
        last = self._pulsed_at.get(address, float("-inf"))
        is_complete = self._completeness.is_complete(address)
        if is_complete and now - last < PULSE_INTERVAL:
            return
        self._pulsed_at[address] = now
        changed = self._list_changed(address, now)
        self._transport.send(address, self._make_pulse(address, now, changed))

    def _list_changed(self, address: str, now: float) -> list:
        """Return the loads that differ from what a subscriber was sent."""
        sent = self._sent_loads.setdefault(address, ReportedLoads())
        return sent.list_changed(self._compute_loads(now), now)

    def _compute_loads(self, now: float) -> dict[str, EngineLoad]:
        """Return the loads of the engines, computed once for all messages."""
        if now - self._loads_at >= LOADS_MAX_AGE:
            self._loads_at = now
            self._loads = {
                name: self._replication.describe(
                    name,
                    EngineLoad(
                        engine.record.usage.count_running(),
                        engine.record.usage.count_reading(),
                        engine.record.count_free_slots(now),
                        engine.record.count_loads_ahead(),
                        engine.record.measure_load_time(),
                    ),
                )
                for name, engine in self.engines.items()
            }
        return self._loads

    def _schedule_loads(self) -> None:
        """Schedule an update of changed loads."""
        if self._loads_timer is None:
            self._loads_timer = self._kernel.loop.call_later(
                LOADS_INTERVAL, self._send_loads
            )

    def _send_loads(self) -> None:
        self._loads_timer = None
        now = self._kernel.clock.now()
        for address in self._subscribers:
            changed = self._list_changed(address, now)
            if changed:
                self._transport.send(address, EngineLoads(self._zone, changed))

    def handle_load_request(self, message: Ask) -> None:
        """Load a requested adapter, or deny it."""
        now = self._kernel.clock.now()
        engine = self.engines.get(message.endpoint)
        model = Model(message.base, message.adapter)
        if engine is None or self._is_evacuated or not self._is_ready(now):
            deny(self._transport, message)
            return
        if message.is_missing:
            engine.record.record_missing(model)
        if engine.record.holds(model, message.least):
            version = engine.record.copies[model].version
            loaded = Loaded(message.endpoint, *model, version)
            self._transport.send(message.address, loaded)
            return
        if self._ledger.judge(lambda: self._identify(model)) is not None:
            deny(self._transport, message)
            return
        if not engine.record.request_load(
            model, message.least, Urgency(*message.urgency), now
        ):
            deny(self._transport, message)
            return
        requesters = self._requesters.setdefault((message.endpoint, model), set())
        requesters.add(message.address)
        engine.advance()

    def tick(self) -> None:
        """Remove inactive subscribers and the requesters of finished loads."""
        now = self._kernel.clock.now()
        self._requesters = {
            (name, model): requesters
            for (name, model), requesters in self._requesters.items()
            if name in self.engines
            and self.engines[name].record.is_load_requested(model)
        }
        for address, last_seen_at in list(self._subscribers.items()):
            if now - last_seen_at > SUBSCRIBER_TIMEOUT:
                del self._subscribers[address]
                self._members.pop(address, None)
                self._pulsed_at.pop(address, None)
                self._sent_loads.pop(address, None)
                self._completeness.forget(address)
                self._updates.forget(address)
                self._forget_calls(address)
                self._transport.disconnect(address)

    def _forget_calls(self, address: str) -> None:
        """Drop the calls that an instance reported."""
        for engine in self.engines.values():
            engine.record.usage.forget_instance(address)

    def _is_ready(self, now: float) -> bool:
        return self._kernel.get(Leases).get(self._zone).may_order(now)

    def _make_pulse(self, address: str, now: float, loads: list) -> Pulse:
        return Pulse(
            self._zone,
            self.fence,
            self._updates.serial,
            sum(self._members.values()),
            self._is_ready(now),
            self._completeness.is_complete(address),
            loads,
            round(self._follower.compute_list_age(), 3),
        )

    def _catch_up(self, message: Subscribe, now: float) -> None:
        """Send a subscriber the updates of the engines' copies it lacks."""
        known = message.serial if message.fence == self.fence else None
        choice = self._updates.choose(message.address, known, message.is_lacking, now)
        if choice is CatchUp.CHANGES:
            changes = pack_changes(self._updates.list_since(known))
            update = News(self._zone, self.fence, known, self._updates.serial, changes)
            self._transport.send(message.address, update)
        elif choice is CatchUp.ALL:
            self._transport.send(message.address, self._make_listing())

    def _make_listing(self) -> Listing:
        engines = [
            [
                name,
                [[*model, held] for model, held in engine.record.list_held().items()],
            ]
            for name, engine in self.engines.items()
            if engine.record.has_report
        ]
        return Listing(self._zone, self.fence, self._updates.serial, engines)

    def _publish_changes(self, engine: OwnedEngine) -> None:
        """Notify the requesters of changes, and schedule an update to all."""
        name = engine.endpoint.id
        denied, engine.record.denied = engine.record.denied, []
        for model, reason in denied:
            self._log_denial(engine, model, reason)
            for address in self._requesters.pop((name, model), ()):
                self._transport.send(address, Denial(self._zone, name, *model))
        changes, engine.record.changes = engine.record.changes, []
        for model, version in changes:
            self._changes.append(Change(name, *model, version))
            if version >= 0:
                self._ledger.clear(lambda model=model: self._identify(model))
                for address in self._requesters.pop((name, model), ()):
                    self._transport.send(address, Loaded(name, *model, version))
        if changes or denied:
            self._schedule_loads()
        if self._changes and self._updates_timer is None:
            self._updates_timer = self._kernel.loop.call_later(
                UPDATE_INTERVAL, self._send_updates
            )

    def _record_crash(self, engine: OwnedEngine) -> None:
        """Record that an engine crashed: a load in flight may be the cause.

        A load that has completed elsewhere is not.
        """
        evidence = [
            CrashEvidence(self._identify(model), engine.endpoint.id, WEAK, 0.0)
            for model in engine.record.list_loading()
            if not self._proven.is_proven(model, self._follower.find_version(model))
        ]
        self._ledger.record_evidence(evidence)

    def _identify(self, model: Model) -> bytes:
        return identify_load(model, self._follower.find_version(model))

    def _log_denial(
        self, engine: OwnedEngine, model: Model, reason: DenialReason
    ) -> None:
        record = engine.record
        self._kernel.get(InstanceMetrics).count("roadlift_denied_loads", reason.value)
        log.event(
            "load_denied",
            endpoint=engine.endpoint.id,
            model=str(model),
            reason=reason.value,
            held=record.count_copies(CopyState.HELD),
            arriving=record.count_copies(CopyState.LOADING),
            in_use=record.usage.count_used(),
            running=record.usage.count_running(),
        )

    def _send_updates(self) -> None:
        """Send every subscriber the changes since the last update."""
        self._updates_timer = None
        changes, self._changes = self._changes, []
        since = self._updates.add(changes)
        packed = pack_changes(changes)
        update = News(self._zone, self.fence, since, self._updates.serial, packed)
        self._transport.send_all(self._subscribers, update)


def deny(transport: Transport, request: Ask) -> None:
    """Notify a requester that its adapter will not be loaded soon."""
    denial = Denial(request.zone, request.endpoint, request.base, request.adapter)
    transport.send(request.address, denial)
