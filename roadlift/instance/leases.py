"""Hold, renew and take the zones' leases through the platform's store."""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import MalformedMessage, RoadliftError, VersionConflict
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.transport import Transport
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.serving.eras import StoreReturn
from roadlift.serving.interfaces import Rows, RowWrite, StoreTime
from roadlift.serving.lease import Lease, LeaseRecord, Step
from roadlift.serving.messages import HandOver
from roadlift.serving.position import StorePosition

TABLE = "roadlift_leases"
TICK = 0.1  # Seconds between looks at what is due.
READ_PERIOD = 0.5  # Seconds between reads while an owner is looked for.
PULSE_LIMIT = 1.5  # Seconds of an owner's silence after which its row is read.
# Seconds that an instance of another zone waits longer than those of the zone.
FOREIGN_PATIENCE = 2.0
RANK_PATIENCE = 0.4  # Seconds between the candidates of other zones.
# Seconds for which a row that was read stands for the store's. Before a lease
# is taken it is read anew, as another candidate may have taken it meanwhile.
FRESH_READ = 0.1
JITTER = 0.3  # Seconds at most between the candidates of one zone.
# Megabits a second below which a link is a weak one for an owner, and seconds
# that its instance waits longer for a lease than others: an owner sent up to
# 6 Mbit/s to 79 instances in a burst, and on one of 5 loaded nothing for 13 s.
OWNER_LINK = 20.0
WEAK_PATIENCE = 0.4

# Instances of a zone that read its lease's row each READ_PERIOD while its
# owner is silent; of more, each reads less often. 38 that read it twice a
# second for the 7 s of a lease are 530 calls for each owner that is lost.
MOST_READERS = 8

# Seconds in which an instance does not take a lease that it has given back.
SHUN_PERIOD = 3.0
# Seconds in which one that was offered a lease looks for it at each tick.
HURRY_PERIOD = 1.0

log = ComponentLog("leases")


class ToldOwner(NamedTuple):
    """The owner of a zone, as told, and the fence of its term."""

    address: str
    fence: int


@components.register("leases")
class Leases:
    """The leases of all zones, as this process sees them.

    ``on_change`` is called with a zone whose holder changed, or whose lease
    this process gained or lost.
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
                self._measure_patience(zone),
            )
            for zone in self._zones
        }
        self._heard_at: dict[str, float] = {}
        self._told: dict[str, ToldOwner] = {}
        self._shunned_until: dict[str, float] = {}
        self._hurried_until: dict[str, float] = {}
        self._members = 1
        self._is_reading = False
        self._next_read = 0.0
        self._read_at = float("-inf")
        self._is_leaving = False
        self._timer = None
        self.on_change: list[Callable[[str], None]] = []
        self.on_hand_back: list[Callable[[str], None]] = []
        self._store.eras.on_return.append(self._note_return)
        transport = kernel.get(Transport)
        transport.subscribe((HandOver,), self._take_hand_over)

    def start(self) -> None:
        """Begin to look for owners."""
        self._timer = self._kernel.loop.call_every(TICK, self._tick)
        self._tick()

    def close(self) -> None:
        """Look no more."""
        self._timer.close()

    @property
    def is_candidate(self) -> bool:
        """Tell whether this process takes leases."""
        return not self._is_leaving

    def get(self, zone: str) -> Lease | None:
        """Return the lease of a zone, or None for an unknown zone."""
        return self._leases.get(zone)

    def list_held(self) -> list[str]:
        """Return the zones whose lease this process has."""
        return [zone for zone, lease in self._leases.items() if lease.is_held]

    def list_zones(self) -> list[str]:
        """Return every zone."""
        return self._zones

    def find_owner(self, zone: str) -> str | None:
        """Return the address of a zone's owner, or None."""
        lease = self._leases.get(zone)
        if lease is None:
            return None
        told = self._told.get(zone)
        is_newer = told is not None and (lease.is_outdated or told.fence > lease.number)
        if is_newer and not lease.is_held:
            return told.address
        holder = lease.holder
        return holder.address if holder else None

    def note_owner(self, zone: str, address: str, fence: int) -> None:
        """Learn from another instance who owns a zone."""
        known = self._told.get(zone)
        if zone in self._leases and (known is None or fence > known.fence):
            self._told[zone] = ToldOwner(address, fence)

    def note_members(self, count: int) -> None:
        """Learn how many instances hear this zone's owner."""
        self._members = count

    def note_sign(self, zone: str, is_ready: bool) -> None:
        """Learn that a zone's owner lives, and whether it may give orders.

        One that may not keeps no other instance from looking for an owner.
        """
        if zone not in self._leases:
            return
        if is_ready:
            self._heard_at[zone] = self._kernel.clock.now()
            self._leases[zone].note_alive()
        else:
            self._heard_at.pop(zone, None)

    def release(self) -> None:
        """Give every held lease back, and take none any more."""
        self._is_leaving = True
        for zone in self.list_held():
            self.hand_back(zone)

    def hand_back(self, zone: str) -> None:
        """Give the lease of a zone back, so that another may take it."""
        lease = self._leases[zone]
        now = self._kernel.clock.now()
        record = lease.release(now)
        self._shunned_until[zone] = now + SHUN_PERIOD
        self._count("given_back")
        log.event("lease_released", zone=zone)
        self._tell(zone)
        row = RowWrite(TABLE, zone, record.encode(), lease.position)
        done = lambda position, time: self._tell_hand_back(zone)
        self._store.write(row, done, self._log_release)

    def _tell_hand_back(self, zone: str) -> None:
        for listener in self.on_hand_back:
            listener(zone)

    def _take_hand_over(self, sender: str, message: HandOver) -> None:
        """Take a lease that was given back for this process."""
        lease = self._leases.get(message.zone)
        if lease is None or lease.is_held or self._is_leaving:
            return
        log.event("lease_offered", zone=message.zone)
        self._hurried_until[message.zone] = self._kernel.clock.now() + HURRY_PERIOD
        lease.hurry()
        self._tick()

    def _log_release(self, error: RoadliftError) -> None:
        log.warning("A lease was not given back and will lapse: %s.", error)

    def _measure_patience(self, zone: str) -> float:
        """Return how long this process lets others take a zone's lease."""
        jitter = (self._kernel.started_at_ms % 1000) / 1000.0 * JITTER
        if self._kernel.settings.link_mbps < OWNER_LINK:
            jitter += WEAK_PATIENCE
        if zone == self._kernel.settings.zone:
            return jitter
        count = len(self._zones)
        own = self._zones.index(self._kernel.settings.zone)
        rank = (self._zones.index(zone) - own) % count
        return FOREIGN_PATIENCE + rank * RANK_PATIENCE + jitter

    def _tick(self) -> None:
        if self._is_leaving:
            return
        now = self._kernel.clock.now()
        must_read = False
        is_due = now >= self._next_read
        for zone in self._list_concerned(now):
            lease = self._leases[zone]
            was_held = lease.is_held
            step = lease.choose_step(now)
            self._tell_loss(zone, lease, was_held, "it could not be written again")
            is_hurried = now < self._hurried_until.get(zone, 0.0)
            if is_hurried and step is Step.READ and now - self._read_at >= TICK:
                must_read = is_due = True
            if step is Step.RENEW:
                self._write(zone, lease, now)
            elif step is Step.TAKE and now < self._shunned_until.get(zone, 0.0):
                continue
            elif step is Step.TAKE and now - self._read_at > FRESH_READ:
                must_read = is_due = True
            elif step is Step.TAKE:
                self._write(zone, lease, now)
            elif step is Step.READ:
                must_read = must_read or not self._is_heard(zone, now) or lease.is_held
        if must_read and is_due and not self._is_reading:
            self._is_reading = True
            self._next_read = now + self._measure_read_period()
            self._store.read(TABLE, self._take_rows, self._fail_read)

    def _list_concerned(self, now: float) -> list[str]:
        """Return the zones whose leases this process looks after.

        An instance looks after its own zone's. The owners of others look after
        those of zones that are lost, and so does one that hears no owner.
        """
        home = self._kernel.settings.zone
        offered = [z for z, until in self._hurried_until.items() if now < until]
        hears_any = any(self._is_heard(zone, now) for zone in self._zones)
        if not hears_any or self.list_held():
            return self._zones
        return list({home, *offered})

    def _measure_read_period(self) -> float:
        if self.list_held():
            return READ_PERIOD
        return READ_PERIOD * max(1.0, self._members / MOST_READERS)

    def _is_heard(self, zone: str, now: float) -> bool:
        heard = self._heard_at.get(zone)
        return heard is not None and now - heard < PULSE_LIMIT

    def _write(self, zone: str, lease: Lease, now: float) -> None:
        record = lease.send(now)
        row = RowWrite(TABLE, zone, record.encode(), lease.position)

        def succeed(position: StorePosition, time: StoreTime) -> None:
            """Learn that the write took effect."""
            lease.note_time(time)
            self._note_written(zone, position, record)

        self._store.write(row, succeed, lambda error: self._note_failed(zone, error))

    def _note_written(
        self, zone: str, position: StorePosition, record: LeaseRecord
    ) -> None:
        lease = self._leases[zone]
        was_held = lease.is_held
        lease.note_written(position, record, self._kernel.clock.now())
        if lease.is_held and not was_held:
            self._tell_gain(zone, lease)

    def _note_return(self, told: StoreReturn) -> None:
        """Read the rows of leases anew: their terms may be in none of them."""
        self._next_read = 0.0
        for zone, lease in self._leases.items():
            was_held = lease.is_held
            lease.note_era(told.era, self._kernel.clock.now())
            self._tell_loss(zone, lease, was_held, "the store came back older")
            if lease.is_held:
                log.event("lease_unwritten", zone=zone, fence=lease.fence)

    def _note_failed(self, zone: str, error: RoadliftError) -> None:
        lease = self._leases[zone]
        was_held = lease.is_held
        if isinstance(error, VersionConflict):
            lease.note_lost()
        else:
            lease.note_doubt()
        self._tell_loss(zone, lease, was_held, str(error))

    def _take_rows(self, rows: Rows) -> None:
        self._is_reading = False
        now = self._read_at = self._kernel.clock.now()
        found = {row.key: row for row in rows.rows}
        for zone, lease in self._leases.items():
            row = found.get(zone)
            record = None
            try:
                record = LeaseRecord.decode(row.value) if row else None
            except MalformedMessage as error:
                log.error("The lease of %s can't be read: %s.", zone, error)
                record = LeaseRecord("", "")
            lease.note_time(rows.time)
            lease.note_era(rows.position.era, now)
            was_held, before = lease.is_held, lease.holder
            absent = rows.position._replace(version=0)
            lease.note_read(row.position if row else absent, record, now)
            if lease.is_held and not was_held:
                self._tell_gain(zone, lease)
            self._tell_loss(zone, lease, was_held, "another instance took it")
            if lease.holder != before and not lease.is_held:
                self._tell(zone)
        self._tick()

    def _fail_read(self, error: RoadliftError) -> None:
        self._is_reading = False

    def _tell_gain(self, zone: str, lease: Lease) -> None:
        wait = max(0.0, lease.orders_from - self._kernel.clock.now())
        self._count("gained")
        log.event("lease_gained", zone=zone, fence=lease.fence, quiet=round(wait, 3))
        self._tell(zone)

    def _tell_loss(self, zone: str, lease: Lease, was_held: bool, why: str) -> None:
        if was_held and not lease.is_held:
            self._count("lost")
            log.event("lease_lost", zone=zone, reason=why)
            self._tell(zone)

    def _count(self, change: str) -> None:
        self._measures.count("roadlift_lease_changes", change)
        self._measures.set("roadlift_held_leases", len(self.list_held()))

    def _tell(self, zone: str) -> None:
        for listener in self.on_change:
            listener(zone)
