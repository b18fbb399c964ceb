"""Acquire, renew and release the zones' leases in the platform's store."""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import MalformedMessage, RoadliftError, VersionConflict
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.transport import Transport
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.serving.eras import StoreRestore
from roadlift.serving.interfaces import Rows, RowWrite, StoreTime
from roadlift.serving.lease import Lease, LeaseRecord, Step
from roadlift.serving.messages import HandOver
from roadlift.serving.position import StorePosition

TABLE = "roadlift_leases"
CHECK_INTERVAL = 0.1  # Seconds between checks for steps that are due.
READ_INTERVAL = 0.5  # Seconds between reads while no owner is known.
PULSE_TIMEOUT = 1.5  # Seconds of an owner's inactivity until its row is read.
# Seconds that a candidate of another zone waits longer than one of the zone.
REMOTE_ZONE_DELAY = 2.0
ZONE_RANK_DELAY = 0.4  # Seconds between the candidates of other zones.
# Seconds for which a row that was read is assumed to be current. Before a
# lease is acquired, an older row is read again, as another candidate may have
# acquired the lease in the meantime.
MAX_READ_AGE = 0.1
MAX_JITTER = 0.3  # Seconds of jitter between the candidates of one zone.
# Link rate in Mbit/s below which an instance should not own a zone, and the
# seconds that such an instance waits longer for a lease than others. An owner
# sent up to 6 Mbit/s to 79 instances in a burst, and on a link of 5 Mbit/s it
# loaded no adapters for 13 s.
MIN_OWNER_LINK_MBPS = 20.0
SLOW_LINK_DELAY = 0.4

# Instances of a zone that read the row of its lease at the full rate while the
# owner is unresponsive. If there are more, each reads less often: 38 instances
# that read it twice a second for the 7 s of a lease make 530 calls to the
# store for each owner that is lost.
MAX_READERS = 8

# Seconds for which an instance does not acquire a lease that it has released.
REACQUIRE_DELAY = 3.0
# Seconds for which an instance that was offered a lease checks it each tick.
OFFER_TTL = 1.0

log = ComponentLog("leases")


class ReportedOwner(NamedTuple):
    """The owner of a zone as another instance reported it, and its fence."""

    address: str
    fence: int


@components.register("leases")
class Leases:
    """The leases of all zones, as far as this process knows them.

    ``is_first_start`` tells that no zone had ever had an owner as this process
    started. ``on_change`` is called with a zone whose holder changed, or whose
    lease this process gained or lost.
    """

    name = "leases"
    needs = ("measures", "platform", "transport")

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._store = kernel.get(Platform).store
        self._measures = kernel.get(InstanceMetrics)
        self._process = f"{settings.instance}#{kernel.started_at_ms}"
        self._zones = sorted({settings.zone, *filter(None, settings.zones.split(","))})
        quiet = settings.holder_quiet_ms / 1000.0
        self._leases = {
            zone: Lease(
                self._process,
                settings.peer,
                settings.lease_time,
                quiet,
                self._compute_acquire_delay(zone),
            )
            for zone in self._zones
        }
        self._received_at: dict[str, float] = {}
        self._reported: dict[str, ReportedOwner] = {}
        self._reacquire_after: dict[str, float] = {}
        self._offered_until: dict[str, float] = {}
        self._members = 1
        self._is_reading = False
        self._next_read = 0.0
        self._read_at = float("-inf")
        self._is_shutting_down = False
        self._is_suspended = False
        self._has_read = False
        self._timer = None
        self.is_first_start = False
        self.on_change: list[Callable[[str], None]] = []
        self.on_release: list[Callable[[str], None]] = []
        self._store.eras.on_restore.append(self._handle_store_return)
        transport = kernel.get(Transport)
        transport.subscribe((HandOver,), self._handle_offer)

    def start(self) -> None:
        """Start checking the leases."""
        self._timer = self._kernel.loop.call_every(CHECK_INTERVAL, self._tick)
        self._tick()

    def close(self) -> None:
        """Stop checking the leases."""
        self._timer.close()

    @property
    def is_candidate(self) -> bool:
        """Return whether this process may acquire leases."""
        return not (self._is_shutting_down or self._is_suspended)

    def get(self, zone: str) -> Lease | None:
        """Return the lease of a zone, or None for an unknown zone."""
        return self._leases.get(zone)

    def list_held(self) -> list[str]:
        """Return the zones whose lease this process holds."""
        return [zone for zone, lease in self._leases.items() if lease.is_held]

    def list_zones(self) -> list[str]:
        """Return every zone."""
        return self._zones

    def find_owner(self, zone: str) -> str | None:
        """Return the address of a zone's owner, or None."""
        lease = self._leases.get(zone)
        if lease is None:
            return None
        reported = self._reported.get(zone)
        is_newer = reported is not None and (
            lease.is_outdated or reported.fence > lease.number
        )
        if is_newer and not lease.is_held:
            return reported.address
        holder = lease.holder
        return holder.address if holder else None

    def record_owner(self, zone: str, address: str, fence: int) -> None:
        """Record the owner of a zone that another instance reported."""
        known = self._reported.get(zone)
        if zone in self._leases and (known is None or fence > known.fence):
            self._reported[zone] = ReportedOwner(address, fence)

    @property
    def hears_owners(self) -> bool:
        """Return whether an owner, other than this process, is alive."""
        now = self._kernel.clock.now()
        return any(self._is_owner_alive(zone, now) for zone in self._zones)

    def record_subscriber_count(self, count: int) -> None:
        """Record how many instances subscribe to the aggregator in use."""
        self._members = count

    def record_owner_alive(self, zone: str, is_ready: bool) -> None:
        """Record that a zone's owner is alive, and whether it may give orders.

        An owner that may not give orders does not keep other instances from
        acquiring the lease.
        """
        if zone not in self._leases:
            return
        if is_ready:
            self._received_at[zone] = self._kernel.clock.now()
            self._leases[zone].record_holder_alive()
        else:
            self._received_at.pop(zone, None)

    def release(self) -> None:
        """Release every held lease, and acquire none from now on."""
        self._is_shutting_down = True
        for zone in self.list_held():
            self.release_zone(zone)

    def suspend(self) -> None:
        """Release every held lease, and acquire none until ``resume``."""
        if not self._is_suspended:
            self._is_suspended = True
            for zone in self.list_held():
                self.release_zone(zone)

    def resume(self) -> None:
        """Acquire leases again."""
        self._is_suspended = False

    def release_zone(self, zone: str) -> None:
        """Release a zone's lease, so that another instance can acquire it."""
        lease = self._leases[zone]
        now = self._kernel.clock.now()
        record = lease.release(now)
        self._reacquire_after[zone] = now + REACQUIRE_DELAY
        self._count("given_back")
        log.event("lease_released", zone=zone)
        self._notify(zone)
        row = RowWrite(TABLE, zone, record.encode(), lease.position)
        done = lambda position, time: self._notify_release(zone)
        self._store.write(row, done, self._log_failed_release)

    def _notify_release(self, zone: str) -> None:
        for listener in self.on_release:
            listener(zone)

    def _handle_offer(self, sender: str, message: HandOver) -> None:
        """Try to acquire a released lease that is offered to this process."""
        lease = self._leases.get(message.zone)
        if lease is None or lease.is_held or not self.is_candidate:
            return
        log.event("lease_offered", zone=message.zone)
        self._offered_until[message.zone] = self._kernel.clock.now() + OFFER_TTL
        lease.skip_extra_wait()
        self._tick()

    def _log_failed_release(self, error: RoadliftError) -> None:
        log.warning("A lease could not be released and will expire: %s.", error)

    def _compute_acquire_delay(self, zone: str) -> float:
        """Return how long this process lets others acquire a zone's lease."""
        jitter = (self._kernel.started_at_ms % 1000) / 1000.0 * MAX_JITTER
        if self._kernel.settings.link_mbps < MIN_OWNER_LINK_MBPS:
            jitter += SLOW_LINK_DELAY
        if zone == self._kernel.settings.zone:
            return jitter
        count = len(self._zones)
        local = self._zones.index(self._kernel.settings.zone)
        rank = (self._zones.index(zone) - local) % count
        return REMOTE_ZONE_DELAY + rank * ZONE_RANK_DELAY + jitter

    def _tick(self) -> None:
        if self._is_shutting_down:
            return
        now = self._kernel.clock.now()
        must_read = False
        is_due = now >= self._next_read
        for zone in self._list_maintained(now):
            lease = self._leases[zone]
            was_held = lease.is_held
            step = lease.choose_step(now)
            self._report_loss(zone, lease, was_held, "it could not be written again")
            is_offered = now < self._offered_until.get(zone, 0.0)
            if (
                is_offered
                and step is Step.READ
                and now - self._read_at >= CHECK_INTERVAL
            ):
                must_read = is_due = True
            if step is Step.RENEW:
                self._write(zone, lease, now)
            elif step is Step.TAKE and not self._may_acquire(zone, now):
                continue
            elif step is Step.TAKE and now - self._read_at > MAX_READ_AGE:
                must_read = is_due = True
            elif step is Step.TAKE:
                self._write(zone, lease, now)
            elif step is Step.READ:
                must_read = (
                    must_read or not self._is_owner_alive(zone, now) or lease.is_held
                )
        if must_read and is_due and not self._is_reading:
            self._is_reading = True
            self._next_read = now + self._compute_read_interval()
            self._store.read(TABLE, self._handle_rows, self._handle_read_error)

    def _may_acquire(self, zone: str, now: float) -> bool:
        is_released = now < self._reacquire_after.get(zone, 0.0)
        return not is_released and not self._is_suspended

    def _list_maintained(self, now: float) -> list[str]:
        """Return the zones whose leases this process maintains.

        An instance maintains the lease of its own zone. The owners of zones
        also maintain the leases of zones that lost their owner, and so does an
        instance that receives nothing from any owner.
        """
        local = self._kernel.settings.zone
        offered = [zone for zone, until in self._offered_until.items() if now < until]
        is_any_alive = any(self._is_owner_alive(zone, now) for zone in self._zones)
        if not is_any_alive or self.list_held():
            return self._zones
        return list({local, *offered})

    def _compute_read_interval(self) -> float:
        if self.list_held():
            return READ_INTERVAL
        return READ_INTERVAL * max(1.0, self._members / MAX_READERS)

    def _is_owner_alive(self, zone: str, now: float) -> bool:
        received_at = self._received_at.get(zone)
        return received_at is not None and now - received_at < PULSE_TIMEOUT

    def _write(self, zone: str, lease: Lease, now: float) -> None:
        record = lease.send(now)
        row = RowWrite(TABLE, zone, record.encode(), lease.position)

        def succeed(position: StorePosition, time: StoreTime) -> None:
            """Record that the write took effect."""
            lease.record_time(time)
            self._handle_written(zone, position, record)

        self._store.write(
            row, succeed, lambda error: self._handle_write_error(zone, error)
        )

    def _handle_written(
        self, zone: str, position: StorePosition, record: LeaseRecord
    ) -> None:
        lease = self._leases[zone]
        was_held = lease.is_held
        lease.record_written(position, record, self._kernel.clock.now())
        if lease.is_held and not was_held:
            self._report_gain(zone, lease)

    def _handle_store_return(self, store_return: StoreRestore) -> None:
        """Read the leases' rows again: the store may have lost some terms."""
        self._next_read = 0.0
        for zone, lease in self._leases.items():
            was_held = lease.is_held
            lease.record_era(store_return.era, self._kernel.clock.now())
            self._report_loss(zone, lease, was_held, "the store came back older")
            if lease.is_held:
                log.event("lease_unwritten", zone=zone, fence=lease.fence)

    def _handle_write_error(self, zone: str, error: RoadliftError) -> None:
        lease = self._leases[zone]
        was_held = lease.is_held
        if isinstance(error, VersionConflict):
            lease.record_conflict()
        else:
            lease.record_unconfirmed()
        self._report_loss(zone, lease, was_held, str(error))

    def _handle_rows(self, rows: Rows) -> None:
        self._is_reading = False
        now = self._read_at = self._kernel.clock.now()
        self.is_first_start = self.is_first_start or not (self._has_read or rows.rows)
        self._has_read = True
        found = {row.key: row for row in rows.rows}
        for zone, lease in self._leases.items():
            row = found.get(zone)
            record = None
            try:
                record = LeaseRecord.decode(row.value) if row else None
            except MalformedMessage as error:
                log.error("Malformed lease row of zone %s: %s.", zone, error)
                record = LeaseRecord("", "")
            lease.record_time(rows.time)
            lease.record_era(rows.position.era, now)
            was_held, before = lease.is_held, lease.holder
            absent = rows.position._replace(version=0)
            lease.record_read(row.position if row else absent, record, now)
            if lease.is_held and not was_held:
                self._report_gain(zone, lease)
            self._report_loss(zone, lease, was_held, "another instance took it")
            if lease.holder != before and not lease.is_held:
                self._notify(zone)
        self._tick()

    def _handle_read_error(self, error: RoadliftError) -> None:
        self._is_reading = False

    def _report_gain(self, zone: str, lease: Lease) -> None:
        wait = max(0.0, lease.orders_from - self._kernel.clock.now())
        self._count("gained")
        log.event("lease_gained", zone=zone, fence=lease.fence, quiet=round(wait, 3))
        self._notify(zone)

    def _report_loss(
        self, zone: str, lease: Lease, was_held: bool, reason: str
    ) -> None:
        if was_held and not lease.is_held:
            self._count("lost")
            log.event("lease_lost", zone=zone, reason=reason)
            self._notify(zone)

    def _count(self, change: str) -> None:
        self._measures.count("roadlift_lease_changes", change)
        self._measures.set("roadlift_held_leases", len(self.list_held()))

    def _notify(self, zone: str) -> None:
        for listener in self.on_change:
            listener(zone)
