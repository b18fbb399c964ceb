"""Keep in the platform's store what no process survives of streams' origins.

The owners of zones write it: a row for each service, with the versions that
may have begun its streams, and, while there are several, the streams
themselves in batches. It is read by a process that has just started, or that
comes to own a zone.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from roadlift.core.errors import MalformedMessage, RoadliftError, VersionConflict
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.declarations import (
    Declaration,
    Declarations,
    StoreMoment,
    find_only_version,
    list_admitted,
)
from roadlift.decisions.origins import MIN_TTL, Origin, compute_ttl
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.instance.streamring import StreamRing
from roadlift.serving.calls import Kind
from roadlift.serving.interfaces import Rows, RowWrite, StoreTime
from roadlift.serving.originrows import (
    SOFTWARE_TABLE,
    STREAM_TABLE,
    Stream,
    encode_declaration,
    read_declaration,
    read_streams,
)
from roadlift.serving.position import ZERO_POSITION, StorePosition
from roadlift.serving.routes import Configuration

CHECK_INTERVAL = 0.1  # Seconds between looks at what is listed.
# Seconds between two reads of what is declared, while a version that is listed
# is not declared as far as this process knows.
READ_INTERVAL = 0.3
# Seconds for which what was read counts as all that was written before.
MAX_AGE = 0.5
# Seconds by which the owner of each further zone declares later, so that it
# finds the row that another one has written.
ZONE_DELAY = 0.3
RETRY_DELAY = 0.3  # Seconds after a failed read or write.
# The era of a store that never came back older.
MAX_FIRST_ERA = 1

log = ComponentLog("origins")


class _KnownRow(NamedTuple):
    """A service's row in the store, and its position."""

    declaration: Declaration
    position: StorePosition

    @property
    def is_mixed(self) -> bool:
        """Return whether several versions are declared."""
        return len(self.declaration.versions) > 1


@components.register("origin_archive")
class OriginArchive:
    """The rows of streams' origins, as far as this process knows them.

    ``on_mixed`` is called with a service of which this process learns that a
    second version is declared.
    """

    name = "origin_archive"
    needs = ("follower", "leases", "measures", "platform")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._store = kernel.get(Platform).store
        self._follower = kernel.get(Follower)
        self._leases = kernel.get(Leases)
        self._metrics = kernel.get(InstanceMetrics)
        self._declarations = Declarations()
        self._rows: dict[str, _KnownRow] = {}
        self._streams: dict[bytes, Origin] = {}
        self._ring = StreamRing(kernel)
        self._ring.on_conflict = self._forget_rows
        self._time: StoreTime | None = None
        self._services: frozenset[str] = frozenset()
        # Of the first configuration, and never declared yet.
        self._first_services: frozenset[str] | None = None
        # Of each service, derived from the list and from the rows.
        self._listed: dict[str, frozenset[str | None]] = {}
        self._admitted: dict[str, frozenset[str] | None] = {}
        self._ttl = MIN_TTL
        self._read_at = float("-inf")
        self._tried_at = float("-inf")
        self._due: dict[str, float] = {}
        self._writing: set[str] = set()
        self._waiting: list[Callable[[bool], None]] = []
        self._is_reading = False
        self._is_owner = False
        self._timer = None
        self.on_mixed: Callable[[str], None] = lambda service: None
        self._follower.on_configuration.append(self._apply_configuration)
        self._follower.on_directory.append(self._forget_list)

    def start(self) -> None:
        """Begin to compare what is listed with what is declared."""
        self._timer = self._loop.call_every(CHECK_INTERVAL, self._check)

    def close(self) -> None:
        """Stop."""
        self._timer.close()
        self._ring.close()

    # What is known of streams

    @property
    def is_fresh(self) -> bool:
        """Return whether all that was written up to now has been read."""
        return self._clock.now() - self._read_at <= MAX_AGE

    @property
    def is_first_era(self) -> bool:
        """Return whether the store has never come back older."""
        return self._store.eras.newest <= MAX_FIRST_ERA

    def find(self, digest: bytes) -> Origin | None:
        """Return what began a stream, or None if no row has it."""
        return self._streams.get(digest)

    def find_only_version(self, service: str) -> str | None:
        """Return the version that began all streams of a service, or None.

        It is not known unless the rows were read just now.
        """
        row = self._rows.get(service)
        if row is None or not self.is_fresh:
            return None
        listed = self._list_versions(service)
        if None in listed:
            return None
        return find_only_version(row.declaration, listed, self._moment, self._ttl)

    def covers(self, service: str) -> bool:
        """Return whether the rows, read just now, tell all that is known."""
        row = self._rows.get(service)
        is_known = row is not None and self.is_fresh
        return is_known and row.declaration.covers(self._moment, self._ttl)

    def list_admitted(self, service: str) -> frozenset[str] | None:
        """Return the versions on which streams may begin, or None for all."""
        if service not in self._services:
            return None
        if service not in self._admitted:
            ready = self._follower.directory.list_ready(service)
            versions = frozenset(one.software for one in ready)
            row = self._rows.get(service)
            declared = row.declaration.versions if row else None
            self._admitted[service] = list_admitted(declared, versions)
        return self._admitted[service]

    def put(self, stream: Stream) -> None:
        """Write a stream soon if its service has several versions."""
        _, origin = stream
        if self._ring.zone is not None and self._is_mixed(origin.service):
            self._ring.put(stream)

    def _is_mixed(self, service: str) -> bool:
        """Return whether several versions may begin streams of a service."""
        row = self._rows.get(service)
        declared = row.declaration.versions if row else frozenset()
        return len(declared | self._list_versions(service)) > 1

    def _list_versions(self, service: str) -> frozenset[str | None]:
        """Return the versions of a service's endpoints that are listed."""
        if service not in self._listed:
            endpoints = self._follower.directory.list_service(service)
            self._listed[service] = frozenset(one.software for one in endpoints)
        return self._listed[service]

    def _forget_list(self) -> None:
        self._listed.clear()
        self._admitted.clear()

    @property
    def _moment(self) -> StoreMoment:
        now = self._time.estimate_latest(self._clock.now())
        return StoreMoment(now, self._store.eras.newest)

    # Reading

    def refresh(self, on_done: Callable[[bool], None]) -> None:
        """Read all rows, unless it was done just now; tell if it succeeded."""
        if self.is_fresh:
            on_done(True)
        else:
            self.read(on_done)

    def read(self, on_done: Callable[[bool], None]) -> None:
        """Read all rows, and tell whether that succeeded."""
        self._waiting.append(on_done)
        if not self._is_reading:
            self._is_reading = True
            self._tried_at = self._clock.now()
            self._store.read(SOFTWARE_TABLE, self._handle_software, self._handle_error)

    def _handle_software(self, rows: Rows) -> None:
        self._time = rows.time
        found: dict[str, _KnownRow] = {}
        for row in rows.rows:
            try:
                declaration = read_declaration(row.value)
            except MalformedMessage as error:
                log.error("The row of service %s is ignored: %s.", row.key, error)
                continue
            found[row.key] = _KnownRow(declaration, row.position)
        self._apply_rows(found)
        if any(map(self._is_mixed, self._rows)):
            self._store.read(STREAM_TABLE, self._handle_streams, self._handle_error)
        else:
            self._end_read(True)

    def _apply_rows(self, rows: Mapping[str, _KnownRow]) -> None:
        """Replace the known rows, and tell where a second version is new."""
        before, self._rows = self._rows, dict(rows)
        # A service that was declared never gets a first row again.
        self._first_services = (self._first_services or frozenset()) - set(rows)
        self._admitted.clear()
        for service, row in rows.items():
            if row.is_mixed and not (service in before and before[service].is_mixed):
                self.on_mixed(service)

    def _handle_streams(self, rows: Rows) -> None:
        found: dict[bytes, Origin] = {}
        for row in rows.rows:
            try:
                found.update(read_streams(row.value))
            except MalformedMessage as error:
                log.error("Streams of row %s are ignored: %s.", row.key, error)
        self._streams = found
        self._ring.adopt(rows)
        log.event("streams_read", streams=len(found), rows=len(rows.rows))
        self._end_read(True)

    def _handle_error(self, error: RoadliftError) -> None:
        log.event("origins_unread", error=str(error))
        self._end_read(False)

    def _end_read(self, is_read: bool) -> None:
        self._is_reading = False
        if is_read:
            self._read_at = self._clock.now()
        waiting, self._waiting = self._waiting, []
        for on_done in waiting:
            on_done(is_read)

    def _forget_rows(self) -> None:
        """Read again what another process has written."""
        self._is_owner = False

    # Writing

    def _apply_configuration(self, configuration: Configuration) -> None:
        resumable = [
            route
            for route in configuration.routes
            if route.kind is Kind.STREAM and route.is_resumable
        ]
        self._ttl = compute_ttl(configuration.routes)
        self._ring.resize(self._ttl)
        self._services = frozenset(
            target.service for route in resumable for target in route.targets
        )
        if self._first_services is None:
            self._first_services = self._services

    def _check(self) -> None:
        """Declare what is listed, as an owner, or read what is declared."""
        now = self._clock.now()
        held = self._leases.list_held()
        self._ring.zone = held[0] if held else None
        if now - self._read_at > self._ttl:
            self._streams = {}
        if not self._services or not self._follower.directory.is_known:
            return
        if not held:
            self._is_owner = False
            self._read_if_undeclared(now)
        elif self._is_owner:
            for service in self._services:
                self._declare(service, now)
        elif now - self._tried_at >= RETRY_DELAY:
            self.read(self._begin_owner)

    def _begin_owner(self, is_read: bool) -> None:
        self._is_owner = is_read and bool(self._leases.list_held())

    def _read_if_undeclared(self, now: float) -> None:
        """Read the rows while a listed version may not begin streams."""
        if now - self._tried_at < READ_INTERVAL:
            return
        if any(map(self._is_undeclared, self._services)):
            self.read(lambda is_read: None)

    def _is_undeclared(self, service: str) -> bool:
        versions = self._list_versions(service) - {None}
        row = self._rows.get(service)
        declared = row.declaration.versions if row else frozenset()
        return len(versions) > 1 and not versions <= declared

    def _declare(self, service: str, now: float) -> None:
        """Write a service's row if other versions have to be declared."""
        row = self._rows.get(service)
        declared = row.declaration if row else None
        listed = self._list_versions(service) - {None}
        versions = self._declarations.revise(service, declared, listed, now, self._ttl)
        era = self._store.eras.newest
        is_current = declared is not None and declared.era == era
        if not versions or (is_current and versions == declared.versions):
            self._due.pop(service, None)
            return
        rank = self._leases.list_zones().index(self._ring.zone)
        due = self._due.setdefault(service, now + ZONE_DELAY * rank)
        if now >= due and service not in self._writing:
            since = declared.since if is_current else self._find_beginning(service)
            self._write(service, Declaration(versions, since, era))

    def _find_beginning(self, service: str) -> float:
        """Return since when a first row tells all, 0 for ever.

        That is so where nothing can have run before it: at the very first
        start, of a service whose streams may be resumed from the start.
        """
        is_first = self._leases.is_first_start and self.is_first_era
        is_new = service in self._first_services
        return 0.0 if is_first and is_new else self._moment.now

    def _write(self, service: str, declaration: Declaration) -> None:
        known = self._rows.get(service)
        row = RowWrite(
            SOFTWARE_TABLE,
            service,
            encode_declaration(declaration),
            known.position if known else ZERO_POSITION,
        )
        self._writing.add(service)
        self._store.write(
            row,
            lambda position, time: self._record_written(service, declaration, position),
            lambda error: self._handle_unwritten(service, error),
        )

    def _record_written(
        self, service: str, declaration: Declaration, position: StorePosition
    ) -> None:
        self._writing.discard(service)
        self._due.pop(service, None)
        self._apply_rows({**self._rows, service: _KnownRow(declaration, position)})
        log.event(
            "versions_declared",
            service=service,
            versions=sorted(declaration.versions),
            since=declaration.since,
        )

    def _handle_unwritten(self, service: str, error: RoadliftError) -> None:
        self._writing.discard(service)
        self._due[service] = self._clock.now() + RETRY_DELAY
        if isinstance(error, VersionConflict):
            self._forget_rows()
        log.event("versions_undeclared", service=service, error=str(error))
