"""Follow the platform's state: configuration, adapter versions, endpoints.

The operator's table changes seldom and is followed by long polls. The list of
endpoints changes with every heartbeat, so its changes are read on a timer.
"""

from collections.abc import Callable, Iterable

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
from roadlift.serving.eras import StoreReturn
from roadlift.serving.interfaces import Rows, StoredRow
from roadlift.serving.messages import ListNews, OperatorNews
from roadlift.serving.operatorrows import OperatorRows, unpack_row
from roadlift.serving.position import NOWHERE, StorePosition
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
        self._relayed_until = 0.0
        self._heard_until = 0.0
        self._members = 1
        self._operator_target = NOWHERE
        self._grace_until = 0.0
        self._settled_at = 0.0
        self._era: int | None = None
        self._configured_at = NOWHERE
        self.operator_position = NOWHERE
        self.freshness = Freshness()
        self.keys: KeyTable | None = None
        self.operator_rows = OperatorRows()
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_version: list[Callable[[Model, int], None]] = []
        self.on_directory: list[Callable[[], None]] = []
        self.on_operator: list[Callable[[StorePosition], None]] = []
        kernel.get(Platform).store.eras.on_return.append(self._note_store_return)

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
    def list_position(self) -> StorePosition:
        """Return the store's position as of which the list is known here."""
        return self._readers[1].position

    def note_state(
        self, list_position: StorePosition, list_age: float, asked_at: float
    ) -> None:
        """Learn how far an aggregator, whose list is known here, has read."""
        self._relayed_until = asked_at + RELAY_LIMIT - list_age
        if self._readers[1].is_resting:
            self._readers[1].skip_to(list_position)
            self._readers[1].answered_at = asked_at - list_age

    def note_operator_state(
        self, position: StorePosition, age: float, asked_at: float
    ) -> None:
        """Learn how far an aggregator knows the operator's rows, as of when.

        ``age`` is in seconds as of when it answered what it was asked at
        ``asked_at``, by this process's clock.
        """
        self._note_era(position.era, "aggregator")
        self.freshness.record_relay(RelayedState(position, asked_at - age))
        if position > self._operator_target:
            self._operator_target = position
            self._grace_until = self._kernel.clock.now() + OPERATOR_GRACE

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
        since = StorePosition.unpack(news.since)
        if rows and since <= self.operator_position:
            # Behind a gap the position stays, so that what lacks is sent.
            self._note_operator_position(max(row.position for row in rows))

    def relay_list(self, news: ListNews) -> None:
        """Take an owner's news of the list of endpoints."""
        before = self.directory.revision
        for fields in news.changed:
            self._log_change(decode_endpoint(fields), StorePosition.unpack(news.place))
        self.directory.relay(news, self._kernel.clock.now())
        self._tell_directory(before)

    def record_drain_notice(self, endpoint_id: str) -> bool:
        """Learn that an endpoint said that it leaves; tell if that is new."""
        before = self.directory.revision
        is_new = self.directory.record_drain_notice(endpoint_id)
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
        is_current = self.operator_position >= self._operator_target
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

    def _note_store_return(self, told: StoreReturn) -> None:
        """Act on an answer of the store that tells of a newer era."""
        self._note_era(told.before, told.source)
        self._note_era(told.era, told.source)

    def _note_era(self, era: int, source: str) -> None:
        """Learn of an era of the store, from its answers or an aggregator.

        What it lost is written again within the grace. Until then it takes
        nothing back that is in force, and nothing that it tells is fresh.
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

    def _note_return(self) -> None:
        """Act on the store's return: an old poll may hang on its cut path."""
        self.directory.record_store_return(self._kernel.clock.now())
        self._readers[0].restart()

    def _take_operator(self, rows: Rows, is_whole: bool) -> None:
        self._note_era(rows.position.era, "op")
        self._take_rows(rows.rows)
        if rows.rows:
            self._note_operator_position(max(row.position for row in rows.rows))
        if rows.is_complete:
            self.freshness.record_read(rows.time.asked_at)

    def _take_rows(self, rows: Iterable[StoredRow]) -> None:
        """Put the operator's rows in force."""
        for row in rows:
            try:
                row = self._format.conceal(row)
                configuration = self._format.read_configuration(row)
                declared = self._format.read_version(row)
            except InvalidConfiguration as error:
                log.error("A row of the operator is ignored: %s.", error)
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

    def _is_older(
        self,
        row: StoredRow,
        configuration: Configuration | None,
        declared: tuple[Model, int] | None,
    ) -> bool:
        """Tell whether a row says what was replaced by what is in force."""
        known = told = 0
        if configuration is not None and self.configuration is not None:
            known, told = self.configuration.version, configuration.version
        if declared is not None:
            model, told = declared
            known = self.versions.get(model, 0)
        if told < known:
            log.event("row_older", key=row.key, told=told, known=known)
        return told < known

    def _note_operator_position(self, position: StorePosition) -> None:
        """Know the operator's table up to a position, and pass it on."""
        before = self.operator_position
        if position > before:
            self.operator_position = position
            self.freshness.record_position(position)
            _tell(self.on_operator, before)

    def _apply(self, configuration: Configuration, position: StorePosition) -> None:
        """Put a configuration in force; an older one is never put back.

        Behind the store's return a number may be given out again, with another
        content; the one that was written last holds.
        """
        known = self.configuration
        if known == configuration:
            self._configured_at = max(position, self._configured_at)
            return
        place = (configuration.version, position)
        if known is not None and place <= (known.version, self._configured_at):
            return
        self._configured_at = position
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
        is_settling = is_whole and now < self._settled_at
        for row in rows.rows:
            # In order: one answer may hold an entry's change and its end.
            if row.value is None:
                version = rows.position.version
                log.event("endpoint_gone", endpoint=row.key, version=version)
                self.directory.remove_name(row.key, now)
                continue
            try:
                endpoint = self._format.read_endpoint(row)
            except InvalidConfiguration as error:
                log.error("An entry of the list is ignored: %s.", error)
                self.directory.reject_name(row.key)
                continue
            if is_settling and self.directory.was_dropped(endpoint.id):
                # The copy's; one that lives writes its entry again.
                continue
            found[endpoint.id] = endpoint
            self._log_change(endpoint, rows.position)
            self.directory.put(endpoint)
        if is_whole:
            self.directory.replace(found, now)
        self._tell_directory(before)

    def _log_change(self, entry: Endpoint, position: StorePosition) -> None:
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
            version=position.version,
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
