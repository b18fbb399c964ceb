"""Follow the platform's state: configuration, adapter versions, endpoints.

The operator's table changes rarely and is followed by long polls. The list of
endpoints changes with every heartbeat of an endpoint, so its changes are read
at a fixed interval.
"""

from collections.abc import Callable, Iterable
from math import isfinite

from roadlift.core.errors import InvalidConfiguration, MalformedMessage
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.instance.tablereader import TableReader
from roadlift.organisations.freshness import Freshness, RelayedState
from roadlift.organisations.keys import KeyTable
from roadlift.serving.calls import Model
from roadlift.serving.directory import (
    RETURN_GRACE,
    Directory,
    Endpoint,
    decode_endpoint,
)
from roadlift.serving.eras import StoreRestore
from roadlift.serving.evacuations import Evacuation, Evacuations
from roadlift.serving.interfaces import Rows, StoredRow
from roadlift.serving.messages import ListNews, OperatorNews
from roadlift.serving.operatorrows import OperatorRows, unpack_row
from roadlift.serving.position import ZERO_POSITION, StorePosition
from roadlift.serving.routes import Configuration, RouteTable

# Seconds that a poll waits at the store. A connection can go silent without a
# reset. A poll that began just before fails after this time plus the store's
# timeout of 0.7 s. After the retry delay, the next poll brings the change,
# within the 3 s that are allowed after the loss of a connection. With 3.0, the
# change arrived after 3.9 s.
OPERATOR_POLL_WAIT = 1.5
# Seconds between reads of the list. Two reads fit into the two seconds after
# which no call may reach a draining endpoint; each read is a billed call.
DIRECTORY_READ_INTERVAL = 0.7
# Seconds after an aggregator's read of the list during which its subscribers
# need not read it: twice the interval between its reads. Subscribers then
# learn that an endpoint is draining within 1.7 s; the platform allows 2 s.
RELAY_MAX_AGE = 1.4
# Seconds after the announcement of an operator's row within which the
# aggregator is expected to relay it. After that, an instance reads the table.
OPERATOR_RELAY_TIMEOUT = 0.6
# Approximate maximum number of subscribers of one aggregator that read the
# store while the aggregator cannot: more would use up the store's capacity.
MAX_READERS = 4
# Maximum seconds between the reads of a subscriber that reaches the store. The
# store may reject only the aggregators: the lists of their 24 subscribers were
# then 5 s old, and calls reached endpoints 3.5 s after they had left.
MAX_READ_INTERVAL = 1.2
# Fractions of the time for which a revoked key may still be served. The first
# limits how long a poll waits at the store, so that relayed state is never
# older than a third of that time. The second is the age after which an
# instance reads the table itself, whether or not others read it.
POLL_WAIT_FRACTION = 0.15
MAX_AGE_FRACTION = 0.45

# Seconds to which the age of the operator's rows rises while all is calm: the
# wait of a poll and the intervals of the heartbeats that confirm it. A row
# that arrives later may have waited while this process was suspended.
MAX_CALM_AGE = 3.0

log = ComponentLog("follower")


@components.register("follower")
class Follower:
    """What this instance knows of the platform's state."""

    name = "follower"
    needs = ("measures", "platform")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._measures = kernel.get(InstanceMetrics)
        self._format = kernel.get(Platform).adapter.state
        self._readers: list[TableReader] = []
        self._timer = None
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.directory = Directory()
        self.versions: dict[Model, int] = {}
        self.is_reader = lambda: True
        self._relay_valid_until = 0.0
        self._source_alive_until = 0.0
        self._members = 1
        self._operator_target = ZERO_POSITION
        self._grace_until = 0.0
        self._settled_at = 0.0
        self._era: int | None = None
        self._configured_position = ZERO_POSITION
        self.operator_position = ZERO_POSITION
        self.freshness = Freshness()
        self.keys: KeyTable | None = None
        self.operator_rows = OperatorRows()
        self._evacuations = Evacuations()
        self._written_at: dict[str, float] = {}
        self.on_evacuation: list[Callable[[Evacuation, float], None]] = []
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_version: list[Callable[[Model, int], None]] = []
        self.on_directory: list[Callable[[], None]] = []
        self.on_operator: list[Callable[[StorePosition], None]] = []
        kernel.get(Platform).store.eras.on_restore.append(self._handle_store_return)

    @property
    def is_ready(self) -> bool:
        """Return whether enough is known to serve calls."""
        return self.configuration is not None and self.directory.is_known

    @property
    def is_reachable(self) -> bool:
        """Return whether the store answered the last read of every table."""
        return all(reader.is_reachable for reader in self._readers)

    def start(self) -> None:
        """Start following the tables."""
        operator = TableReader(
            self._kernel,
            self._format.operator_table,
            self._compute_operator_wait,
            0.0,
            self._handle_operator,
            lambda: None,
            self._may_pause_operator,
        )
        directory = TableReader(
            self._kernel,
            self._format.directory_table,
            lambda: 0.0,
            DIRECTORY_READ_INTERVAL,
            self._handle_directory,
            self._handle_reachable,
            self._may_pause_directory,
        )
        self._readers = [operator, directory]
        for reader in self._readers:
            reader.start()
        self._timer = self._kernel.loop.call_every(
            DIRECTORY_READ_INTERVAL, self._expire
        )

    def close(self) -> None:
        """Stop following the tables."""
        self._timer.close()
        for reader in self._readers:
            reader.close()

    @property
    def list_position(self) -> StorePosition:
        """Return the store's position up to which the list is known."""
        return self._readers[1].position

    def record_list_state(
        self, list_position: StorePosition, list_age: float, asked_at: float
    ) -> None:
        """Record up to where an aggregator, whose list is known, has read."""
        self._relay_valid_until = asked_at + RELAY_MAX_AGE - list_age
        if self._readers[1].is_paused:
            self._readers[1].advance_to(list_position)
            self._readers[1].answered_at = asked_at - list_age

    def record_operator_state(
        self, position: StorePosition, age: float, asked_at: float
    ) -> None:
        """Record up to where an aggregator knows the operator's rows.

        ``age`` is the age of that knowledge in seconds when the aggregator
        replied; ``asked_at`` is when the reply was requested, by this
        process's clock.
        """
        self._record_era(position.era, "aggregator")
        self.freshness.record_relay(RelayedState(position, asked_at - age))
        if position > self._operator_target:
            self._operator_target = position
            self._grace_until = self._kernel.clock.now() + OPERATOR_RELAY_TIMEOUT

    def compute_operator_age(self) -> float:
        """Return the seconds for which a change may have gone unnoticed."""
        return self.freshness.measure_age(self._kernel.clock.now())

    def record_source_alive(self, until: float, members: int) -> None:
        """Record until when the aggregator counts as alive.

        ``members`` is the number of its subscribers. While its list is old,
        only a few of them read the store.
        """
        self._source_alive_until = until
        self._members = members

    def apply_operator_update(self, update: OperatorNews) -> None:
        """Apply rows of the operator's table that an aggregator relayed."""
        try:
            rows = [unpack_row(fields) for fields in update.rows]
        except MalformedMessage as error:
            log.error("Ignored malformed rows of the operator's table: %s.", error)
            return
        is_stale = self.compute_operator_age() > MAX_CALM_AGE or update.age < 0.0
        self._apply_rows(rows, float("inf") if is_stale else update.age)
        since = StorePosition.unpack(update.since)
        if rows and since <= self.operator_position:
            # After a gap the position stays, so that the aggregator sends the
            # missing rows.
            self._advance_operator_position(max(row.position for row in rows))

    def apply_list_update(self, update: ListNews) -> None:
        """Apply changes of the endpoint list that an aggregator relayed."""
        before = self.directory.revision
        for fields in update.changed:
            self._log_change(
                decode_endpoint(fields), StorePosition.unpack(update.place)
            )
        self.directory.relay(update, self._kernel.clock.now())
        self._notify_directory(before)

    def record_drain_notice(self, endpoint_id: str) -> bool:
        """Record an endpoint's drain notice; return whether it is new."""
        before = self.directory.revision
        is_new = self.directory.record_drain_notice(endpoint_id)
        self._notify_directory(before)
        return is_new

    def is_relayed(self) -> bool:
        """Return whether an aggregator reads the store for this instance."""
        return (
            not self.is_reader() and self._kernel.clock.now() < self._relay_valid_until
        )

    def _may_pause_directory(self) -> bool:
        """Return whether the list need not be read now."""
        return self.is_relayed() or self._is_left_to_others(1, DIRECTORY_READ_INTERVAL)

    def _compute_operator_wait(self) -> float:
        """Return the seconds that a poll of the operator's table waits."""
        limit = self._kernel.settings.revoke_ms / 1000.0
        return (
            min(OPERATOR_POLL_WAIT, limit * POLL_WAIT_FRACTION)
            if limit
            else OPERATOR_POLL_WAIT
        )

    def _is_operator_old(self) -> bool:
        """Return whether the operator's rows are nearly too old to serve.

        Calls with keys are refused beyond the limit.
        """
        limit = self._kernel.settings.revoke_ms / 1000.0
        is_limited = bool(limit) and self.keys is not None
        return is_limited and self.compute_operator_age() > limit * MAX_AGE_FRACTION

    def _may_pause_operator(self) -> bool:
        """Return whether the operator's table need not be read now."""
        if self._is_operator_old():
            return False
        if not self.is_relayed():
            return self._is_left_to_others(0, OPERATOR_POLL_WAIT)
        is_current = self.operator_position >= self._operator_target
        return is_current or self._kernel.clock.now() < self._grace_until

    def _is_left_to_others(self, number: int, interval: float) -> bool:
        """Return whether reading is left to other subscribers for now."""
        now = self._kernel.clock.now()
        if self.is_reader() or now >= self._source_alive_until:
            return False
        reader = self._readers[number]
        pause = interval * self._members / MAX_READERS
        if reader.is_reachable:
            pause = min(pause, MAX_READ_INTERVAL)
        return now - reader.requested_at < pause

    def compute_list_age(self) -> float:
        """Return the seconds since the list of endpoints was last read."""
        return self._kernel.clock.now() - self._readers[1].answered_at

    def find_version(self, model: Model) -> int:
        """Return the declared version of an adapter, or 0."""
        return self.versions.get(model, 0)

    def _handle_store_return(self, store_return: StoreRestore) -> None:
        """Handle an answer of the store that reports a newer era."""
        self._record_era(store_return.before, store_return.source)
        self._record_era(store_return.era, store_return.source)

    def _record_era(self, era: int, source: str) -> None:
        """Record an era of the store, from its answers or an aggregator.

        Rows that the store lost are written again within the grace period.
        Until then, its rows replace nothing that is in force, and none of its
        answers counts as fresh.
        """
        if self._era is not None and era > self._era:
            now = self._kernel.clock.now()
            self._settled_at = now + RETURN_GRACE
            self.directory.record_store_return(now)
            self.freshness.record_store_return(self._settled_at)
            self._measures.set("roadlift_store_era", era)
            log.event(
                "store_came_back_older",
                era=era,
                before=self._era,
                source=source,
                operator=self.operator_position.version,
                list=self.list_position.version,
            )
        self._era = max(era, self._era or era)

    def _handle_reachable(self) -> None:
        """Restart the poll, which may hang on the old connection."""
        self.directory.record_store_return(self._kernel.clock.now())
        self._readers[0].restart()

    def _handle_operator(self, rows: Rows, is_full: bool) -> None:
        self._record_era(rows.position.era, "op")
        found = list(rows.rows)
        if is_full and self._kernel.clock.now() >= self._settled_at:
            found += self._list_ended_evacuations(rows)
        self._apply_rows(found, self._estimate_row_age(rows, is_full))
        if found:
            self._advance_operator_position(max(row.position for row in found))
        if rows.is_complete:
            self.freshness.record_read(rows.time.asked_at)

    def _estimate_row_age(self, rows: Rows, is_full: bool) -> float:
        """Return how many seconds ago rows were written that were read now.

        The store answers a poll at the first change, so they are new unless
        the answer took longer than the poll may wait.
        """
        if is_full:
            return float("inf")
        waited = self._kernel.clock.now() - rows.time.asked_at
        return max(0.0, waited - self._compute_operator_wait())

    def _apply_rows(self, rows: Iterable[StoredRow], age: float) -> None:
        """Apply the operator's rows, written ``age`` seconds ago."""
        for row in rows:
            try:
                row = self._format.redact(row)
                configuration = self._format.read_configuration(row)
                declared = self._format.read_version(row)
                evacuation = self._format.read_evacuation(row)
            except InvalidConfiguration as error:
                log.error("Ignored an invalid row of the operator's table: %s.", error)
                continue
            if self._is_older(row, configuration, declared):
                self.operator_rows.keep(row)
                continue
            if self.operator_rows.put(row):
                log.event("row_written_again", key=row.key)
            if configuration is not None:
                self._apply(configuration, row.position)
            if declared is not None:
                self._declare(*declared)
            if evacuation is not None:
                self._evacuate(evacuation, row, age)

    def _list_ended_evacuations(self, rows: Rows) -> list[StoredRow]:
        """Return the rows of evacuations that a whole table lacks, as deleted.

        They are relayed like rows whose deletion was read.
        """
        keys = {row.key for row in rows.rows}
        return [
            StoredRow(key, None, rows.position)
            for key in self._evacuations.list_vanished(keys)
        ]

    def _evacuate(self, evacuation: Evacuation, row: StoredRow, age: float) -> None:
        """Apply the row of an evacuation, or its deletion."""
        self._written_at[row.key] = self._kernel.clock.now() - age
        if self._evacuations.apply(evacuation, row.key, row.position):
            self._update_evacuations(evacuation, age)

    def _update_evacuations(self, evacuation: Evacuation, age: float) -> None:
        """Put the beginning or end of an evacuation in force."""
        before = self.directory.revision
        self.directory.set_evacuated_zones(self._evacuations.zones)
        _notify(self.on_evacuation, evacuation, age)
        self._notify_directory(before)

    def measure_row_age(self, keys: Iterable[str]) -> float:
        """Return how many seconds ago the oldest of some rows was written.

        Only rows of evacuations count; -1 if that is not known.
        """
        now = self._kernel.clock.now()
        ages = [now - self._written_at[key] for key in keys if key in self._written_at]
        age = max(ages, default=0.0)
        return round(age, 3) if isfinite(age) else -1.0

    def _expire_evacuations(self) -> None:
        """End those that the store lost and the operator did not repeat."""
        if self._era is None or self._kernel.clock.now() < self._settled_at:
            return
        for zone in self._evacuations.expire(self._era):
            self._update_evacuations(Evacuation(zone, False), 0.0)

    def _is_older(
        self,
        row: StoredRow,
        configuration: Configuration | None,
        declared: tuple[Model, int] | None,
    ) -> bool:
        """Return whether a row is older than what is in force."""
        known = received = 0
        if configuration is not None and self.configuration is not None:
            known, received = self.configuration.version, configuration.version
        if declared is not None:
            model, received = declared
            known = self.versions.get(model, 0)
        if received < known:
            log.event("row_older", key=row.key, told=received, known=known)
        return received < known

    def _advance_operator_position(self, position: StorePosition) -> None:
        """Advance the known position of the table, and notify listeners."""
        before = self.operator_position
        if position > before:
            self.operator_position = position
            self.freshness.record_position(position)
            _notify(self.on_operator, before)

    def _apply(self, configuration: Configuration, position: StorePosition) -> None:
        """Put a configuration in force unless a newer one already is.

        After the store was restored from an older copy, a version number may
        be assigned again with other content; the last one written is used.
        """
        known = self.configuration
        if known == configuration:
            self._configured_position = max(position, self._configured_position)
            return
        candidate = (configuration.version, position)
        if known is not None and candidate <= (
            known.version,
            self._configured_position,
        ):
            return
        self._configured_position = position
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self.keys = None
        if configuration.organisations is not None:
            self.keys = KeyTable(configuration.organisations)
        self._measures.set("roadlift_configuration_version", configuration.version)
        log.event(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations or ()),
        )
        _notify(self.on_configuration, configuration)

    def _declare(self, model: Model, version: int) -> None:
        if version <= self.versions.get(model, 0):
            return
        self.versions[model] = version
        log.event("version_declared", model=str(model), version=version)
        _notify(self.on_version, model, version)

    def _handle_directory(self, rows: Rows, is_full: bool) -> None:
        now = self._kernel.clock.now()
        before = self.directory.revision
        found = {}
        is_settling = is_full and now < self._settled_at
        for row in rows.rows:
            # In order: one answer may hold both a change of an entry and its
            # removal.
            if row.value is None:
                version = rows.position.version
                log.event("endpoint_gone", endpoint=row.key, version=version)
                self.directory.remove_name(row.key, now)
                continue
            try:
                endpoint = self._format.read_endpoint(row)
            except InvalidConfiguration as error:
                log.error(
                    "Ignored an invalid entry of the list of endpoints: %s.", error
                )
                self.directory.reject_name(row.key)
                continue
            if is_settling and self.directory.was_dropped(endpoint.id):
                # The entry may stem from the older copy. An endpoint that is
                # alive writes its entry again.
                continue
            found[endpoint.id] = endpoint
            self._log_change(endpoint, rows.position)
            self.directory.put(endpoint)
        if is_full:
            self.directory.replace(found, now)
        self._notify_directory(before)

    def _log_change(self, entry: Endpoint, position: StorePosition) -> None:
        """Log an endpoint that is new or has begun to drain."""
        endpoint = self.directory.correct(entry)
        known = self.directory.get(endpoint.id)
        if known is not None and known.is_draining == endpoint.is_draining:
            return
        log.event(
            "endpoint_draining" if endpoint.is_draining else "endpoint_ready",
            endpoint=endpoint.id,
            address=str(endpoint.address),
            service=endpoint.service,
            remaining=endpoint.remaining,
            version=position.version,
        )

    def _expire(self) -> None:
        before = self.directory.revision
        self.directory.expire(self._kernel.clock.now())
        self._notify_directory(before)
        self._expire_evacuations()
        age = self.compute_operator_age()
        self._measures.set("roadlift_configuration_age_seconds", age)

    def _notify_directory(self, before: int) -> None:
        if self.directory.revision != before:
            _notify(self.on_directory)


def _notify(listeners: Iterable[Callable[..., None]], *arguments: object) -> None:
    """Call all listeners, even if one raises.

    Otherwise a row that makes a listener raise would be the last one that the
    instance reads, and that an aggregator relays: later configurations and
    endpoints would never become known.
    """
    for listener in list(listeners):
        try:
            listener(*arguments)
        except Exception as error:
            log.error("A listener raised an exception on an update: %r.", error)
