"""Know which software version began a stream, here and at other instances."""

from collections import defaultdict
from collections.abc import Callable

from roadlift.core.errors import MalformedMessage
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.transport import Transport
from roadlift.decisions.origins import (
    MIN_TTL,
    UNKNOWN,
    Basis,
    Finding,
    ListedVersion,
    Origin,
    OriginTable,
    SoftwareHistory,
    combine,
    compute_digest,
    compute_ttl,
    rank_zones,
)
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.originarchive import OriginArchive
from roadlift.instance.originfeed import OriginFeed
from roadlift.instance.originquery import OriginAnswer, OriginQuery
from roadlift.instance.subscription import Subscription
from roadlift.serving.messages import FindOrigin, OriginReply, StreamOrigins
from roadlift.serving.originrows import Stream, split_streams
from roadlift.serving.routes import Configuration

# Seconds in which the first owner that is queried answers, all others do, and
# an aggregator does for them: some times a link's delay between regions.
FIRST_TIMEOUT = 0.15
OWNER_TIMEOUT = 0.25
SOURCE_TIMEOUT = 0.45
CHECK_INTERVAL = 1.0  # Seconds between removals of what is outdated.
# Seconds that the list of endpoints may be old and still count as current.
MAX_LIST_AGE = 2.5
# Seconds in which a process that has started hears of an owner that is alive.
STARTING_TIME = 1.0

OnAnswer = Callable[[OriginAnswer], None]

log = ComponentLog("origins")


@components.register("origins")
class OriginRegistry:
    """The origins of streams that this process began, or keeps for others."""

    name = "origins"
    needs = (
        "follower",
        "leases",
        "measures",
        "origin_archive",
        "subscription",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._clock = kernel.clock
        self._peer = kernel.settings.peer
        self._follower = kernel.get(Follower)
        self._leases = kernel.get(Leases)
        self._metrics = kernel.get(InstanceMetrics)
        self._subscription = kernel.get(Subscription)
        self._transport = kernel.get(Transport)
        self._own = OriginTable()
        self._members = OriginTable()
        self._others = OriginTable()
        self._history = SoftwareHistory()
        self._ttl = MIN_TTL
        self._queries: dict[tuple[bytes, str], list[OriginQuery]] = defaultdict(list)
        self._unanswered: set[FindOrigin] = set()
        self._feed = OriginFeed(kernel, self._list_streams)
        self._archive = kernel.get(OriginArchive)
        self._archive.on_mixed = self._archive_streams
        self._began_at = kernel.clock.now()
        self._is_first_start = False
        self._timer = None
        self._follower.on_directory.append(self._record_list)
        self._follower.on_configuration.append(self._apply_configuration)
        self._transport.subscribe((StreamOrigins,), self._handle_origins)
        self._transport.subscribe((FindOrigin,), self._handle_question)
        self._transport.subscribe((OriginReply,), self._handle_reply)

    def start(self) -> None:
        """Begin to replicate, and to forget what is outdated."""
        self._feed.start()
        self._timer = self._kernel.loop.call_every(CHECK_INTERVAL, self._check)

    def close(self) -> None:
        """Stop."""
        self._timer.close()
        self._feed.close()
        for queries in self._queries.values():
            for query in queries:
                query.close()

    # What is known here.

    def record(self, call_id: str, origin: Origin) -> None:
        """Record what began the stream of a call."""
        stream = compute_digest(call_id), origin
        self._own.put(*stream)
        self._feed.put(stream)
        self._archive.put(stream)

    def find(self, digest: bytes, service: str) -> Finding:
        """Return what this process knows of a stream of a service."""
        now = self._clock.now()
        found = (
            self._own.find(digest, Basis.LOCAL, now)
            or self._members.find(digest, Basis.REMOTE, now)
            or self._others.find(digest, Basis.REMOTE, now)
        )
        if found is not None:
            return found
        stored = self._archive.find(digest)
        if stored is not None:
            return Finding(Basis.STORED, stored)
        self._check_list_age(now)
        judged = self._history.judge(service, now, self._ttl)
        return self._find_declared(service) if judged == UNKNOWN else judged

    def _find_declared(self, service: str) -> Finding:
        """Return the only version that was declared, on a current list."""
        version = self._archive.find_only_version(service)
        if version is None or not self._is_list_current:
            return UNKNOWN
        return Finding(Basis.ONLY_VERSION, Origin(service, version))

    @property
    def _is_list_current(self) -> bool:
        return self._follower.compute_list_age() <= MAX_LIST_AGE

    def list_admitted(self, service: str) -> frozenset[str] | None:
        """Return the versions on which streams may begin, or None for all."""
        return self._archive.list_admitted(service)

    def count(self) -> int:
        """Return the number of streams that are remembered."""
        return len(self._own) + len(self._members) + len(self._others)

    def _archive_streams(self, service: str) -> None:
        """Store the streams from before a second version was declared."""
        for stream in self._list_streams():
            _, origin = stream
            if origin.service == service:
                self._archive.put(stream)

    def _list_streams(self) -> list[Stream]:
        return [*self._members.list_all(), *self._own.list_all()]

    def _record_list(self) -> None:
        endpoints = self._follower.directory.list_all()
        listed = {ListedVersion(one.service, one.software) for one in endpoints}
        self._history.record_list(listed, self._clock.now())

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._ttl = compute_ttl(configuration.routes)

    def _check(self) -> None:
        """Forget what is outdated, and note whether the list is current."""
        now = self._clock.now()
        if self._leases.is_first_start and not self._is_first_start:
            self._is_first_start = True
            if self._archive.is_first_era:
                self._history.record_first_start()
        self._check_list_age(now)
        for table in (self._own, self._members, self._others):
            table.expire(now, self._ttl)
        self._metrics.set("roadlift_remembered_streams", self.count())

    def _check_list_age(self, now: float) -> None:
        """Note a gap in the history if the list is not current."""
        if not self._is_list_current:
            self._history.record_gap()
        elif self._follower.directory.is_known:
            self._history.record_current(now)

    # What other instances know.

    def query(self, call_id: str, service: str, on_answer: OnAnswer) -> None:
        """Find out what began a stream; the id is empty if it is not named."""
        digest = compute_digest(call_id) if call_id else b""
        if self._is_new and not self._leases.hears_owners:
            self._query_archive(digest, service, on_answer)
            return

        def answer(found: OriginAnswer) -> None:
            """Answer by what others know, or else by the store."""
            if found.finding.origin is None and self._is_new:
                self._complete(digest, service, found, on_answer)
            else:
                on_answer(found)

        self._query_others(digest, service, answer)

    @property
    def _is_new(self) -> bool:
        """Return whether streams may be older than this process."""
        return self._clock.now() - self._began_at < self._ttl

    def _query_archive(self, digest: bytes, service: str, on_answer: OnAnswer) -> None:
        """Answer by the store, as no other instance has been heard of.

        A process that has just started may hear of one yet, and asks those
        that the store names.
        """
        is_starting = self._clock.now() - self._began_at < STARTING_TIME

        def answer(is_read: bool) -> None:
            """Answer, unless another instance may know the stream."""
            finding = self.find(digest, service)
            if finding.origin is None and is_starting:
                self._query_others(digest, service, on_answer)
            else:
                on_answer(OriginAnswer(finding, is_read))

        self._archive.refresh(answer)

    def _complete(
        self, digest: bytes, service: str, known: OriginAnswer, on_answer: OnAnswer
    ) -> None:
        """Answer by the store what others do not know.

        Where the store tells all, an instance that is silent knows no more.
        """

        def answer(is_read: bool) -> None:
            """Judge the stream again."""
            finding = combine((self.find(digest, service), known.finding))
            is_complete = known.is_complete or self._archive.covers(service)
            on_answer(known._replace(finding=finding, is_complete=is_complete))

        self._archive.refresh(answer)

    def _query_others(self, digest: bytes, service: str, on_answer: OnAnswer) -> None:
        source = self._subscription.source
        if self._leases.list_held() or not source:
            self._query_owners(digest, service, on_answer)
            return

        def handle_source(answer: OriginAnswer) -> None:
            """Answer, or query the owners if the aggregator is silent."""
            if answer.is_silent:
                self._query_owners(digest, service, on_answer)
            else:
                on_answer(answer)

        question = FindOrigin(self._peer, digest, service, False)
        self._start(question, {source}, SOURCE_TIMEOUT, handle_source)

    def _query_owners(self, digest: bytes, service: str, on_answer: OnAnswer) -> None:
        """Query the owner that has a stream, then the others."""
        question = FindOrigin(self._peer, digest, service, True)
        zones = self._leases.list_zones()
        first = self._find_owners(rank_zones(digest, zones)[:1]) if digest else set()

        def handle_first(answer: OriginAnswer) -> None:
            """Answer, or query the owners that have not answered."""
            if answer.finding.is_remembered:
                on_answer(answer)
                return
            answered = set() if answer.is_silent else first
            others = self._find_owners(zones) - answered
            self._start(question, others, OWNER_TIMEOUT, on_answer, answer.finding)

        self._start(question, first, FIRST_TIMEOUT, handle_first)

    def _find_owners(self, zones: list[str]) -> set[str]:
        """Return the addresses of other instances that own some zones."""
        owners = {self._leases.find_owner(zone) for zone in zones}
        return owners - {None, "", self._peer}

    def _start(
        self,
        question: FindOrigin,
        addresses: set[str],
        timeout: float,
        on_answer: OnAnswer,
        found: Finding = UNKNOWN,
    ) -> None:
        """Query some instances; ``found`` is what others have answered."""
        key = question.digest, question.service
        known = combine((self.find(*key), found))

        def end(answer: OriginAnswer) -> None:
            """Forget the query, and answer."""
            queries = self._queries.pop(key)
            queries.remove(query)
            if queries:
                self._queries[key] = queries
            on_answer(answer)

        recipients = set() if known.is_remembered else addresses
        query = OriginQuery(self._kernel, question, recipients, timeout, known, end)
        self._queries[key].append(query)
        query.start()

    def _handle_origins(self, sender: str, message: StreamOrigins) -> None:
        table = self._others if message.is_passed_on else self._members
        try:
            streams = split_streams(message.origins)
        except MalformedMessage as error:
            log.warning("The streams of %s were ignored: %s.", sender, error)
            return
        for stream in streams:
            table.put(*stream)
            if not message.is_passed_on:
                self._feed.put(stream)
                self._archive.put(stream)

    def _handle_question(self, sender: str, message: FindOrigin) -> None:
        """Answer; an instance's query goes to the other owners as well."""
        if not isinstance(message.digest, bytes):
            log.warning("A query of %s was ignored: %r.", sender, message.digest)
            return
        if message.is_passed_on:
            finding = self.find(message.digest, message.service)
            self._reply(message, OriginAnswer(finding, True))
        elif message not in self._unanswered:
            self._unanswered.add(message)
            reply = lambda answer: self._reply(message, answer)
            self._query_owners(message.digest, message.service, reply)

    def _reply(self, message: FindOrigin, answer: OriginAnswer) -> None:
        self._unanswered.discard(message)
        finding = answer.finding
        origin = finding.origin or Origin("", "")
        reply = OriginReply(
            self._peer,
            message.digest,
            message.service,
            Basis.REMOTE if finding.is_remembered else finding.basis,
            origin.service,
            origin.software,
            round(finding.age or 0.0, 3),
            answer.is_complete,
        )
        self._transport.send(message.address, reply)

    def _handle_reply(self, sender: str, message: OriginReply) -> None:
        try:
            basis = Basis(message.basis)
        except ValueError:
            log.warning("%s sent an unknown basis: %r.", sender, message.basis)
            return
        is_known = basis in (Basis.REMOTE, Basis.ONLY_VERSION)
        origin = Origin(message.service, message.software) if is_known else None
        finding = Finding(basis, origin, message.age if is_known else None)
        answer = OriginAnswer(finding, message.is_complete)
        for query in list(self._queries.get((message.digest, message.queried), ())):
            query.handle(message.address, answer)
