"""Follow the platform's state: configuration, adapter versions, endpoints.

The operator's table changes seldom and is followed by long polls. The list of
endpoints changes with every heartbeat, so its changes are read on a timer.
"""

from collections.abc import Callable, Iterable

from roadlift.core.errors import (
    HistoryGone,
    InvalidConfiguration,
    MalformedMessage,
    RoadliftError,
)
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.instance.measures import Measures
from roadlift.instance.platform import Platform
from roadlift.organisations.freshness import Freshness, RelayedState
from roadlift.organisations.keys import KeyTable
from roadlift.serving.calls import Model
from roadlift.serving.directory import Directory, Endpoint, decode_endpoint
from roadlift.serving.eras import StoreReturn
from roadlift.serving.interfaces import Rows, StoredRow
from roadlift.serving.messages import ListNews, OperatorNews
from roadlift.serving.operatorrows import OperatorRows, unpack_row
from roadlift.serving.routes import Configuration, RouteTable

# Seconds that a poll waits at the store. A path can fall silent without a
# reset: a poll begun just before is given up after these, the store's timeout
# of 0.7 s and RETRY_PAUSE, and the next one brings the change within the 3 s
# that are allowed behind the loss of a path. With 3.0 it came 3.9 s late.
OPERATOR_WAIT = 1.5
# Seconds between reads of the list. Two fit into the two seconds after which
# no call may reach an endpoint that drains; each read is a priced call.
DIRECTORY_PERIOD = 0.7
# Seconds behind an aggregator's read of the list until which its subscribers
# need not read by themselves: two periods of its reads. They then learn of an
# endpoint that leaves within 1.7 s, and the platform allows 2.
RELAY_LIMIT = 1.4
# Seconds behind the news of an operator's row in which its aggregator passes
# it on. Behind them an instance reads the table itself.
OPERATOR_GRACE = 0.6
# Subscribers of one aggregator that read the store, as far as possible, while
# it can't: more would take up what the store bears.
MOST_READERS = 4
# Seconds between the reads of one that reaches the store, at most. The store
# may turn just the aggregators away: lists of their 24 subscribers were then
# 5 s old, and calls reached endpoints 3.5 s after they had left.
LONGEST_TURN = 1.2
# Parts of the time for which a revoked key may still be served: seconds that a
# poll waits at the store at most, so that what is passed on is never older
# than a third of that time, and seconds behind which an instance reads the
# table itself, whoever else may read it.
POLL_PART = 0.15
OLD_PART = 0.45
REST_LOOK = 0.2  # Seconds between looks whether an instance has to read again.
RETRY_PAUSE = 0.2  # Seconds behind a read that failed.

log = PartLog("follower")


class TableReader:
    """Reads one table whole, then its changes, for as long as it is open.

    ``period`` is in seconds: 0 polls again at once, waiting at the store for
    what ``measure_wait`` returns; ``retry_pause`` is behind a read that
    failed, likewise.
    """

    def __init__(
        self,
        kernel: Kernel,
        table: str,
        measure_wait: Callable[[], float],
        period: float,
        on_rows: Callable[[Rows, bool], None],
        on_return: Callable[[], None],
        may_rest: Callable[[], bool],
        retry_pause: float = RETRY_PAUSE,
    ) -> None:
        self._loop = kernel.loop
        self._clock = kernel.clock
        self._store = kernel.get(Platform).store
        self._measures = kernel.get(Measures)
        self._table = table
        self._measure_wait = measure_wait
        self._period = period
        self._on_rows = on_rows
        self._on_return = on_return
        self._may_rest = may_rest
        self._retry_pause = retry_pause
        self._version: int | None = None
        # Whether the last read was answered. A read that waits on a dead
        # connection is noticed late, so the first one behind a failure or an
        # outage does not wait.
        self._is_sound = True
        self.is_resting = False
        self.asked_at = float("-inf")
        self._is_open = True
        self._round = 0
        self.answered_at = kernel.clock.now()
        self.is_reachable = True

    def start(self) -> None:
        """Read the table."""
        self._read(self._round)

    def close(self) -> None:
        """Read no more."""
        self._is_open = False

    def restart(self) -> None:
        """Send the read under way anew, and ignore its answer."""
        self._is_sound = False
        self._round += 1
        self._read(self._round)

    @property
    def version(self) -> int:
        """Return the store's version as of which the table is known."""
        return self._version or 0

    def skip_to(self, version: int) -> None:
        """Learn from another instance that nothing is new up to a version."""
        if self._version is not None:
            self._version = max(self._version, version)

    def _read(self, number: int) -> None:
        """Read; ``number`` is the round, of which only the newest counts."""
        if not self._is_open or number != self._round:
            return
        self.is_resting = self._version is not None and self._may_rest()
        if self.is_resting:
            self._loop.call_later(REST_LOOK, lambda: self._read(number))
            return
        self.asked_at = self._clock.now()
        is_whole = self._version is None
        take = lambda rows: self._take(number, rows, is_whole)
        fail = lambda error: self._fail(number, error)
        if is_whole:
            self._store.read(self._table, take, fail)
        else:
            wait = self._measure_wait() if self._is_sound else 0.0
            self._store.follow(self._table, self._version, wait, take, fail)

    def _take(self, number: int, rows: Rows, is_whole: bool) -> None:
        if not self._is_open or number != self._round:
            return
        if not self.is_reachable:
            self.is_reachable = True
            log.event("store_regained", table=self._table, version=rows.version)
            self._on_return()
        self._is_sound = True
        self._version = rows.version
        self.answered_at = self._clock.now()
        self._on_rows(rows, is_whole)
        self._loop.call_later(self._period, lambda: self._read(number))

    def _fail(self, number: int, error: RoadliftError) -> None:
        if not self._is_open or number != self._round:
            return
        if isinstance(error, HistoryGone):
            log.event("history_gone", table=self._table, version=self._version)
            self._version = None
        else:
            self._is_sound = False
            self._measures.count("roadlift_store_failures", self._table)
        if self.is_reachable and not isinstance(error, HistoryGone):
            self.is_reachable = False
            log.event("store_lost", table=self._table, error=str(error))
        self._loop.call_later(self._retry_pause, lambda: self._read(number))


@parts.register("follower")
class Follower:
    """What this instance knows of the platform's state."""

    name = "follower"
    needs = ("measures", "platform")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._measures = kernel.get(Measures)
        self._format = kernel.get(Platform).adapter.state
        self._readers: list[TableReader] = []
        self._timer = None
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.directory = Directory()
        self.versions: dict[Model, int] = {}
        self.is_reader = lambda: True
        self._relayed_until = 0.0
        self._heard_until = 0.0
        self._members = 1
        self._operator_target = 0
        self._grace_until = 0.0
        self.operator_version = 0
        self.freshness = Freshness()
        self.keys: KeyTable | None = None
        self.operator_rows = OperatorRows()
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_version: list[Callable[[Model, int], None]] = []
        self.on_directory: list[Callable[[], None]] = []
        self.on_operator: list[Callable[[int], None]] = []
        kernel.get(Platform).store.eras.on_return.append(self._log_store_return)

    @property
    def is_ready(self) -> bool:
        """Tell whether enough is known to serve calls."""
        return self.configuration is not None and self.directory.is_known

    @property
    def is_reachable(self) -> bool:
        """Tell whether the store answered every table's last read."""
        return all(reader.is_reachable for reader in self._readers)

    def start(self) -> None:
        """Begin to follow the tables."""
        operator = TableReader(
            self._kernel,
            self._format.operator_table,
            self._measure_operator_wait,
            0.0,
            self._take_operator,
            lambda: None,
            self._may_rest_operator,
        )
        directory = TableReader(
            self._kernel,
            self._format.directory_table,
            lambda: 0.0,
            DIRECTORY_PERIOD,
            self._take_directory,
            self._note_return,
            self._may_rest_directory,
        )
        self._readers = [operator, directory]
        for reader in self._readers:
            reader.start()
        self._timer = self._kernel.loop.call_every(DIRECTORY_PERIOD, self._expire)

    def close(self) -> None:
        """Follow no more."""
        self._timer.close()
        for reader in self._readers:
            reader.close()

    @property
    def list_version(self) -> int:
        """Return the store's version as of which the list is known here."""
        return self._readers[1].version

    def note_state(
        self, list_version: int, list_age: float, operator_version: int, asked_at: float
    ) -> None:
        """Learn how far an aggregator, whose list is known here, has read."""
        self._relayed_until = asked_at + RELAY_LIMIT - list_age
        if operator_version > self._operator_target:
            self._operator_target = operator_version
            self._grace_until = self._kernel.clock.now() + OPERATOR_GRACE
        if self._readers[1].is_resting:
            self._readers[1].skip_to(list_version)
            self._readers[1].answered_at = asked_at - list_age

    def note_operator_age(self, version: int, age: float, asked_at: float) -> None:
        """Learn how old an aggregator's knowledge of the operator's rows is.

        ``age`` is in seconds as of when it answered what it was asked at
        ``asked_at``, by this process's clock.
        """
        self.freshness.note_relay(RelayedState(version, asked_at - age))

    def measure_operator_age(self) -> float:
        """Return the seconds for which a change may have gone unnoticed."""
        return self.freshness.measure_age(self._kernel.clock.now())

    def note_heard(self, until: float, members: int) -> None:
        """Learn that an aggregator with so many subscribers lives.

        While its list is old, a few of them read the store.
        """
        self._heard_until = until
        self._members = members

    def relay_operator(self, news: OperatorNews) -> None:
        """Take rows of the operator's table from an aggregator."""
        try:
            rows = [unpack_row(fields) for fields in news.rows]
        except MalformedMessage as error:
            log.error("Rows of the operator are ignored: %s.", error)
            return
        self._take_rows(rows)
        if rows and news.since <= self.operator_version:
            # Behind a gap the version stays, so that what lacks is sent.
            self._note_operator_version(max(row.version for row in rows))

    def relay_list(self, news: ListNews) -> None:
        """Take an owner's news of the list of endpoints."""
        before = self.directory.revision
        for fields in news.changed:
            self._log_change(decode_endpoint(fields), news.version)
        self.directory.relay(news, self._kernel.clock.now())
        self._tell_directory(before)

    def note_leaving(self, endpoint_id: str) -> bool:
        """Learn that an endpoint said that it leaves; tell if that is new."""
        before = self.directory.revision
        is_new = self.directory.note_leaving(endpoint_id)
        self._tell_directory(before)
        return is_new

    def is_relayed(self) -> bool:
        """Tell whether an aggregator reads for this instance."""
        return not self.is_reader() and self._kernel.clock.now() < self._relayed_until

    def _may_rest_directory(self) -> bool:
        """Tell whether the list need not be read now."""
        return self.is_relayed() or self._is_others_turn(1, DIRECTORY_PERIOD)

    def _measure_operator_wait(self) -> float:
        """Return the seconds that a poll of the operator's table waits."""
        limit = self._kernel.settings.revoke_ms / 1000.0
        return min(OPERATOR_WAIT, limit * POLL_PART) if limit else OPERATOR_WAIT

    def _is_operator_old(self) -> bool:
        """Tell whether calls with keys will soon be refused for their age."""
        limit = self._kernel.settings.revoke_ms / 1000.0
        is_limited = bool(limit) and self.keys is not None
        return is_limited and self.measure_operator_age() > limit * OLD_PART

    def _may_rest_operator(self) -> bool:
        """Tell whether the operator's table need not be read now."""
        if self._is_operator_old():
            return False
        if not self.is_relayed():
            return self._is_others_turn(0, OPERATOR_WAIT)
        is_current = self.operator_version >= self._operator_target
        return is_current or self._kernel.clock.now() < self._grace_until

    def _is_others_turn(self, number: int, period: float) -> bool:
        """Tell whether other subscribers of an aggregator read now."""
        now = self._kernel.clock.now()
        if self.is_reader() or now >= self._heard_until:
            return False
        reader = self._readers[number]
        turn = period * self._members / MOST_READERS
        if reader.is_reachable:
            turn = min(turn, LONGEST_TURN)
        return now - reader.asked_at < turn

    def measure_list_age(self) -> float:
        """Return the seconds since the list of endpoints was read last."""
        return self._kernel.clock.now() - self._readers[1].answered_at

    def find_version(self, model: Model) -> int:
        """Return the declared version of an adapter, or 0."""
        return self.versions.get(model, 0)

    def _log_store_return(self, told: StoreReturn) -> None:
        """Tell as of which versions this process goes on."""
        self._measures.set("roadlift_store_era", told.era)
        log.event(
            "store_came_back_older",
            era=told.era,
            before=told.before,
            source=told.source,
            operator=self.operator_version,
            list=self.list_version,
        )

    def _note_return(self) -> None:
        """Act on the store's return: an old poll may hang on its cut path."""
        self.directory.note_return(self._kernel.clock.now())
        self._readers[0].restart()

    def _take_operator(self, rows: Rows, is_whole: bool) -> None:
        self._take_rows(rows.rows)
        if rows.rows:
            self._note_operator_version(max(row.version for row in rows.rows))
        if rows.is_complete:
            self.freshness.note_read(rows.time.asked_at)

    def _take_rows(self, rows: Iterable[StoredRow]) -> None:
        """Put the operator's rows in force."""
        for row in rows:
            try:
                row = self._format.conceal(row)
                self.operator_rows.put(row)
                configuration = self._format.read_configuration(row)
                declared = self._format.read_version(row)
            except InvalidConfiguration as error:
                log.error("A row of the operator is ignored: %s.", error)
                continue
            if configuration is not None:
                self._apply(configuration)
            if declared is not None:
                self._declare(*declared)

    def _note_operator_version(self, version: int) -> None:
        """Know the operator's table up to a version, and pass it on."""
        before = self.operator_version
        if version > before:
            self.operator_version = version
            self.freshness.note_version(version)
            _tell(self.on_operator, before)

    def _apply(self, configuration: Configuration) -> None:
        """Put a configuration in force; an older one is never put back."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
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
        _tell(self.on_configuration, configuration)

    def _declare(self, model: Model, version: int) -> None:
        if version <= self.versions.get(model, 0):
            return
        self.versions[model] = version
        log.event("version_declared", model=str(model), version=version)
        _tell(self.on_version, model, version)

    def _take_directory(self, rows: Rows, is_whole: bool) -> None:
        now = self._kernel.clock.now()
        before = self.directory.revision
        found = {}
        for row in rows.rows:
            # In order: one answer may hold an entry's change and its end.
            if row.value is None:
                log.event("endpoint_gone", endpoint=row.key, version=rows.version)
                self.directory.remove_name(row.key, now)
                continue
            try:
                endpoint = self._format.read_endpoint(row)
            except InvalidConfiguration as error:
                log.error("An entry of the list is ignored: %s.", error)
                self.directory.reject_name(row.key)
                continue
            found[endpoint.id] = endpoint
            self._log_change(endpoint, rows.version)
            self.directory.put(endpoint)
        if is_whole:
            self.directory.replace(found, now)
        self._tell_directory(before)

    def _log_change(self, entry: Endpoint, version: int) -> None:
        """Log an endpoint that is new, or has begun to drain."""
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
            version=version,
        )

    def _expire(self) -> None:
        before = self.directory.revision
        self.directory.expire(self._kernel.clock.now())
        self._tell_directory(before)
        age = self.measure_operator_age()
        self._measures.set("roadlift_configuration_age_seconds", age)

    def _tell_directory(self, before: int) -> None:
        if self.directory.revision != before:
            _tell(self.on_directory)


def _tell(listeners: Iterable[Callable[..., None]], *news: object) -> None:
    """Tell all listeners, also where one breaks.

    Else a row that breaks one is the last that the instance reads, and that an
    aggregator passes on: no configuration or endpoint is learned of any more.
    """
    for listener in list(listeners):
        try:
            listener(*news)
        except Exception as error:
            log.error("What was read broke a listener: %r.", error)
