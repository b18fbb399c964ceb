"""Look after the engines and the subscribers of one zone."""

from roadlift.core.kernel import Kernel
from roadlift.core.logs import PartLog
from roadlift.crashes.ledger import CrashLedger
from roadlift.daemon.transport import Transport
from roadlift.decisions.crashes import WEAK, Sign
from roadlift.decisions.denials import Denials
from roadlift.decisions.urgency import Urgency
from roadlift.decisions.workload import EngineLoad, ToldLoads
from roadlift.instance.engine import OwnedEngine
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.measures import Measures
from roadlift.serving.calls import Model
from roadlift.serving.copies import CopyState
from roadlift.serving.directory import Endpoint
from roadlift.serving.engine import DenialReason, EngineBook
from roadlift.serving.identity import identify_load
from roadlift.serving.loads import BaseLoads, LoadTimes
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
from roadlift.serving.newslog import CatchUp, Change, NewsLog, pack_changes
from roadlift.serving.usage import Completeness

# Seconds between two news of what engines hold. Instances that asked are told
# at once; another may send a call to a copy that is gone, which the engine
# refuses.
NEWS_PERIOD = 0.05
LOADS_PERIOD = 0.05  # Seconds between two tellings of loads.
PULSE_PERIOD = 0.2  # Seconds between two signs to one subscriber.
LOADS_AGE = 0.005  # Seconds for which the measured loads are used again.
SUBSCRIBER_LIMIT = 4.0  # Seconds of silence after which a subscriber is gone.

log = PartLog("owner")


class Term:
    """This process's time as the owner of one zone."""

    def __init__(self, kernel: Kernel, zone: str, fence: int) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._follower = kernel.get(Follower)
        self._ledger = kernel.get(CrashLedger)
        self._zone = zone
        self._news = NewsLog()
        self._subscribers: dict[str, float] = {}
        self._members: dict[str, int] = {}
        self._pulsed_at: dict[str, float] = {}
        self._told: dict[str, ToldLoads] = {}
        self._completeness = Completeness()
        self._changes: list[Change] = []
        self._news_timer = None
        self._loads_timer = None
        self._askers: dict[tuple[str, Model], set[str]] = {}
        self._times = LoadTimes()
        self._denials = Denials()
        self._base_loads: BaseLoads | None = None
        self._loads: dict[str, EngineLoad] = {}
        self._loads_at = float("-inf")
        self.fence = fence
        self.engines: dict[str, OwnedEngine] = {}

    @property
    def reaches_none(self) -> bool:
        """Tell whether no engine of the zone answers, of two or more."""
        books = [engine.book for engine in self.engines.values()]
        return len(books) > 1 and all(book.is_unreachable for book in books)

    def close(self) -> None:
        """Give no more orders, and tell that an owner may be looked for."""
        for engine in self.engines.values():
            engine.close()
        if self._news_timer is not None:
            self._news_timer.close()
            self._send_news()
        if self._loads_timer is not None:
            self._loads_timer.close()
        now = self._kernel.clock.now()
        for address in self._subscribers:
            self._transport.send(address, self._make_pulse(address, now, []))

    def update(self) -> None:
        """Take up new engines of the zone, and drop those that left."""
        configuration = self._follower.configuration
        if configuration is None:
            return
        found = {}
        for endpoint in self._follower.directory.list_all():
            service = configuration.services.get(endpoint.service)
            is_engine = service is not None and service.engine is not None
            if endpoint.zone == self._zone and is_engine and not endpoint.is_draining:
                found[endpoint.id] = (endpoint, service.engine)
        for gone in set(self.engines) - set(found):
            self.engines.pop(gone).close()
        for endpoint, shape in found.values():
            if endpoint.id not in self.engines:
                self._add(endpoint, shape)

    def _add(self, endpoint: Endpoint, shape) -> None:
        bases = tuple(model.name for model in shape.models)
        if self._base_loads is None:
            zones = len(self._kernel.get(Leases).list_zones())
            self._base_loads = BaseLoads(shape.loads_per_second / zones)
        book = EngineBook(
            shape.adapter_slots, bases, self._times, self._base_loads, self._denials
        )
        engine = OwnedEngine(self._kernel, self._zone, endpoint, book)
        engine.on_change = self._spread
        engine.on_report = self._spread
        engine.on_end = self._note_end
        self.engines[endpoint.id] = engine
        # Calls may have been told of that run there since before it was known.
        self._completeness.doubt_all()
        engine.advance()

    def take_version(self, model: Model, version: int) -> None:
        """Retire the copies of an adapter that are older."""
        for engine in self.engines.values():
            engine.book.retire(model, version)
            self._spread(engine)

    def take_subscription(self, message: Subscribe) -> None:
        """Count the uses, and tell a subscriber what it lacks."""
        now = self._kernel.clock.now()
        self._subscribers[message.address] = now
        self._members[message.address] = message.members
        self._completeness.note(message.address, message.count, message.is_whole)
        if message.is_whole:
            self._forget_calls(message.address)
        for endpoint, base, adapter, begun, running in message.uses:
            engine = self.engines.get(endpoint)
            if engine is None:
                continue
            model = Model(base, adapter)
            if begun:
                engine.book.note_use(model, begun, now)
            engine.book.usage.note_running(message.address, model, running)
        for endpoint, tokens in message.reading:
            if endpoint in self.engines:
                self.engines[endpoint].book.usage.note_reading(message.address, tokens)
        if message.uses or message.reading:
            self._plan_loads()
        self._catch_up(message, now)
        self._give_sign(message.address, now)

    def _give_sign(self, address: str, now: float) -> None:
        """Answer an aggregator, which tells more often than it needs signs."""
        last = self._pulsed_at.get(address, float("-inf"))
        is_complete = self._completeness.is_complete(address)
        if is_complete and now - last < PULSE_PERIOD:
            return
        self._pulsed_at[address] = now
        changed = self._list_changed(address, now)
        self._transport.send(address, self._make_pulse(address, now, changed))

    def _list_changed(self, address: str, now: float) -> list:
        """Return the loads of engines that are not as this instance knows."""
        told = self._told.setdefault(address, ToldLoads())
        return told.list_changed(self._measure_loads(now), now)

    def _measure_loads(self, now: float) -> dict[str, EngineLoad]:
        """Return the loads of the engines, measured once for all messages."""
        if now - self._loads_at >= LOADS_AGE:
            self._loads_at = now
            self._loads = {
                name: EngineLoad(
                    engine.book.usage.count_running(),
                    engine.book.usage.count_reading(),
                    engine.book.count_places(now),
                    engine.book.count_loads_ahead(),
                    engine.book.measure_load_time(),
                )
                for name, engine in self.engines.items()
            }
        return self._loads

    def _plan_loads(self) -> None:
        """Tell the subscribers of changed loads before long."""
        if self._loads_timer is None:
            self._loads_timer = self._kernel.loop.call_later(
                LOADS_PERIOD, self._tell_loads
            )

    def _tell_loads(self) -> None:
        self._loads_timer = None
        now = self._kernel.clock.now()
        for address in self._subscribers:
            changed = self._list_changed(address, now)
            if changed:
                self._transport.send(address, EngineLoads(self._zone, changed))

    def take_ask(self, message: Ask) -> None:
        """Load an adapter, or deny it."""
        now = self._kernel.clock.now()
        engine = self.engines.get(message.endpoint)
        model = Model(message.base, message.adapter)
        if engine is None or not self._is_ready(now):
            deny(self._transport, message)
            return
        if message.is_missing:
            engine.book.note_missing(model)
        if engine.book.holds(model, message.least):
            version = engine.book.copies[model].version
            loaded = Loaded(message.endpoint, *model, version)
            self._transport.send(message.address, loaded)
            return
        if self._ledger.judge(lambda: self._identify(model)) is not None:
            deny(self._transport, message)
            return
        if not engine.book.want(model, message.least, Urgency(*message.urgency), now):
            deny(self._transport, message)
            return
        asked = self._askers.setdefault((message.endpoint, model), set())
        asked.add(message.address)
        engine.advance()

    def tick(self) -> None:
        """Drop subscribers that fell silent, and askings that are over."""
        now = self._kernel.clock.now()
        self._askers = {
            (name, model): asked
            for (name, model), asked in self._askers.items()
            if name in self.engines and self.engines[name].book.is_wanted(model)
        }
        for address, heard in list(self._subscribers.items()):
            if now - heard > SUBSCRIBER_LIMIT:
                del self._subscribers[address]
                self._members.pop(address, None)
                self._pulsed_at.pop(address, None)
                self._told.pop(address, None)
                self._completeness.forget(address)
                self._news.forget(address)
                self._forget_calls(address)
                self._transport.disconnect(address)

    def _forget_calls(self, address: str) -> None:
        """Drop what an instance told of its calls."""
        for engine in self.engines.values():
            engine.book.usage.forget_instance(address)

    def _is_ready(self, now: float) -> bool:
        return self._kernel.get(Leases).get(self._zone).may_order(now)

    def _make_pulse(self, address: str, now: float, loads: list) -> Pulse:
        return Pulse(
            self._zone,
            self.fence,
            self._news.serial,
            sum(self._members.values()),
            self._is_ready(now),
            self._completeness.is_complete(address),
            loads,
            round(self._follower.compute_list_age(), 3),
        )

    def _catch_up(self, message: Subscribe, now: float) -> None:
        """Send a subscriber what it lacks of what engines hold."""
        known = message.serial if message.fence == self.fence else None
        sent = self._news.choose(message.address, known, message.is_lacking, now)
        if sent is CatchUp.CHANGES:
            changes = pack_changes(self._news.list_since(known))
            news = News(self._zone, self.fence, known, self._news.serial, changes)
            self._transport.send(message.address, news)
        elif sent is CatchUp.ALL:
            self._transport.send(message.address, self._make_listing())

    def _make_listing(self) -> Listing:
        engines = [
            [name, [[*model, held] for model, held in engine.book.list_held().items()]]
            for name, engine in self.engines.items()
            if engine.book.is_read
        ]
        return Listing(self._zone, self.fence, self._news.serial, engines)

    def _spread(self, engine: OwnedEngine) -> None:
        """Tell what changed at an engine: at once to those that asked."""
        name = engine.endpoint.id
        denied, engine.book.denied = engine.book.denied, []
        for model, reason in denied:
            self._log_denial(engine, model, reason)
            for address in self._askers.pop((name, model), ()):
                self._transport.send(address, Denial(self._zone, name, *model))
        changes, engine.book.changes = engine.book.changes, []
        for model, version in changes:
            self._changes.append(Change(name, *model, version))
            if version >= 0:
                self._ledger.clear(lambda model=model: self._identify(model))
                for address in self._askers.pop((name, model), ()):
                    self._transport.send(address, Loaded(name, *model, version))
        if changes or denied:
            self._plan_loads()
        if self._changes and self._news_timer is None:
            self._news_timer = self._kernel.loop.call_later(
                NEWS_PERIOD, self._send_news
            )

    def _note_end(self, engine: OwnedEngine) -> None:
        """Learn that an engine ended: a load on its way may be the cause."""
        signs = [
            Sign(self._identify(model), engine.endpoint.id, WEAK, 0.0)
            for model in engine.book.list_arriving()
        ]
        self._ledger.learn(signs)

    def _identify(self, model: Model) -> bytes:
        return identify_load(model, self._follower.find_version(model))

    def _log_denial(
        self, engine: OwnedEngine, model: Model, reason: DenialReason
    ) -> None:
        book = engine.book
        self._kernel.get(Measures).count("roadlift_denied_loads", reason.value)
        log.event(
            "load_denied",
            endpoint=engine.endpoint.id,
            model=str(model),
            reason=reason.value,
            held=book.count_copies(CopyState.HELD),
            arriving=book.count_copies(CopyState.ARRIVING),
            in_use=book.usage.count_used(),
            running=book.usage.count_running(),
        )

    def _send_news(self) -> None:
        """Tell every subscriber what changed since the last time."""
        self._news_timer = None
        changes, self._changes = self._changes, []
        since = self._news.add(changes)
        packed = pack_changes(changes)
        news = News(self._zone, self.fence, since, self._news.serial, packed)
        self._transport.send_all(self._subscribers, news)


def deny(transport: Transport, ask: Ask) -> None:
    """Tell an instance that what it asked for will not be loaded soon."""
    denial = Denial(ask.zone, ask.endpoint, ask.base, ask.adapter)
    transport.send(ask.address, denial)
