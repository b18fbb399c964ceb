"""Find an engine that holds an adapter, or have it loaded."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.daemon.transport import Transport
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.health import Health
from roadlift.serving.messages import (
    Ask,
    Denial,
    KnownState,
    Listing,
    ListNews,
    Loaded,
    News,
    Pulse,
    Subscribe,
)
from roadlift.serving.pace import Paces
from roadlift.serving.residency import Residency
from roadlift.serving.selection import (
    Homes,
    Load,
    Popularity,
    choose_least_loaded,
    find_overloaded,
    order_by_zones,
)

SUBSCRIBE_PERIOD = 0.25  # Seconds between messages to each owner at most.
# The same where calls have begun or ended since, which tell the owner what it
# may evict and all others how full its engines are: so many for each instance,
# as the owner answers all of them.
TELL_PERIOD = 0.015
TELL_TICK = 0.1  # Seconds between looks at what is to be told.
ASK_PERIOD = 0.3  # Seconds after which an asking is sent again.
SPREAD_PRIORITY = 9  # A further copy waits behind every call's own.
CANDIDATES = 3  # Engines that are asked in turn for one adapter.
SPREAD_PERIOD = 1.0  # Seconds between askings for further copies of one adapter.
# Seconds of silence behind which an owner is not asked: its sign comes each
# SUBSCRIBE_PERIOD, and one that is lost on a link comes 0.2 to 0.6 s later.
OWNER_LIMIT = 0.9
# The same while others are there to be asked: an asking too many costs less
# than a call that waits for a dead owner.
OTHER_OWNER_LIMIT = 0.5

log = PartLog("placing")


class Told(NamedTuple):
    """The calls that run at an engine as its owner told them.

    ``own`` were this process's calls there at that time; the owner is that of
    ``zone``.
    """

    running: int
    own: int
    zone: str


class Waiter:
    """A call that waits for an adapter; ``close`` takes it back."""

    def __init__(
        self,
        service: str,
        model: Model,
        priority: int,
        on_ready: Callable[[], None],
        on_ask: Callable[[Endpoint], None],
    ) -> None:
        self.service = service
        self.model = model
        self.priority = priority
        self.on_ready = on_ready
        self.on_ask = on_ask
        self.is_open = True

    def close(self) -> None:
        """Wait no more."""
        self.is_open = False


class Wish:
    """The waiters for one adapter, and the engine that was asked for it."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.asked_at = float("-inf")
        self.endpoint = ""
        self.denied: set[str] = set()


@parts.register("placing")
class Placing:
    """What this process knows of loaded adapters, and asks for."""

    name = "placing"
    needs = ("follower", "leases", "transport", "owner")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._follower = kernel.get(Follower)
        self._leases = kernel.get(Leases)
        self._residency = Residency()
        self._homes = Homes()
        self._popularity: dict[str, Popularity] = {}
        self._spread_at: dict[Model, float] = {}
        self._wishes: dict[tuple[str, Model], Wish] = {}
        self._uses: dict[str, dict[tuple[str, Model], int]] = {}
        self._running: dict[tuple[str, Model], int] = {}
        self._news: dict[str, tuple[int, int]] = {}
        self._list_news = (0, 0)
        self._pulses: dict[str, tuple[float, Pulse]] = {}
        self._subscribed_at: dict[str, float] = {}
        self._told: dict[str, Told] = {}
        self._timers: list = []
        self.health = Health()
        self.paces = Paces()
        self._transport.subscribe((Pulse,), self._take_pulse)
        self._transport.subscribe((Listing,), self._take_listing)
        self._transport.subscribe((News,), self._take_news)
        self._transport.subscribe((Loaded,), self._take_loaded)
        self._transport.subscribe((Denial,), self._take_denial)
        self._transport.subscribe((ListNews,), self._take_list_news)
        self._follower.is_reader = lambda: bool(self._leases.list_held())
        self._follower.on_directory.append(self._forget_gone)
        self._leases.on_change.append(lambda zone: self._subscribe_zone(zone))

    def start(self) -> None:
        """Begin to subscribe and to ask again."""
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(TELL_TICK, self._subscribe),
            loop.call_every(ASK_PERIOD, self._ask_again),
        ]

    def close(self) -> None:
        """Ask no more."""
        for timer in self._timers:
            timer.close()

    def count_instances(self) -> int:
        """Return how many instances there are, as far as owners tell."""
        counts = [pulse.instances for _, pulse in self._pulses.values()]
        return max(counts, default=1)

    # Choosing.

    def choose(
        self, service: str, model: Model | None, excluded: set[str]
    ) -> Endpoint | None:
        """Return an endpoint that can run a call now, or None."""
        now = self._kernel.clock.now()
        ready = self._follower.directory.list_ready(service)
        usable = self.health.list_usable(ready, now)
        if model is not None:
            usable = [one for one in usable if one.holds(model.base)]
            if model.adapter:
                usable = self._filter_holders(usable, model)
        usable = [one for one in usable if one.id not in excluded]
        chosen = choose_least_loaded(
            usable, self._kernel.settings.zone, self._weigh(usable, now)
        )
        if chosen is not None and model is not None and model.adapter:
            self._spread_hot(chosen, model, len(usable), now)
        return chosen

    def count_running(self, endpoint: str) -> int:
        """Return about how many calls run at an endpoint, of all instances.

        That is what its owner told last, and what this process began since;
        where no owner tells it, this process's own calls.
        """
        own = self.health.count_running(endpoint)
        told = self._told.get(endpoint)
        if told is None:
            return own
        heard, _ = self._pulses[told.zone]
        if self._kernel.clock.now() - heard > OWNER_LIMIT:
            return own
        return max(own, told.running + own - told.own)

    def _weigh(self, endpoints: Iterable[Endpoint], now: float) -> Load:
        """Return what tells the calls at endpoints, weighed by their pace."""
        factors = self.paces.compare([one.id for one in endpoints], now)
        return lambda name: self.count_running(name) * factors.get(name, 1.0)

    def note_call(self, service: str, model: Model | None) -> None:
        """Count a caller's call, for what is popular."""
        if model is not None and model.adapter:
            now = self._kernel.clock.now()
            self._popularity.setdefault(service, Popularity()).note(model, now)

    def _spread_hot(
        self, chosen: Endpoint, model: Model, copies: int, now: float
    ) -> None:
        """Ask for a further copy of an adapter that is hot for its copies.

        So it is where its share of the calls is large, and where the least
        loaded of its engines is overloaded.
        """
        service = chosen.service
        popularity = self._popularity.get(service)
        if popularity is None or now - self._spread_at.get(model, 0) < SPREAD_PERIOD:
            return
        ready = self._follower.directory.list_ready(service)
        full = find_overloaded(ready, self._weigh(ready, now))
        is_relief = chosen.id in full and popularity.is_wanted(model, now)
        if not is_relief and popularity.count_copies(model, len(ready), now) <= copies:
            return
        self._spread_at[model] = now
        held = self._residency.find(model)
        for endpoint in order_by_zones(self._rank_homes(service, model, now)):
            is_free = endpoint.id not in held and endpoint.id not in full
            if is_free and self._has_owner(endpoint.zone, now):
                log.event(
                    "spread", model=str(model), endpoint=endpoint.id, copies=copies
                )
                self._send_ask(endpoint, model, SPREAD_PRIORITY, False)
                return

    def begin(self, endpoint: Endpoint, model: Model | None) -> None:
        """Count a call as under way at an endpoint."""
        self.health.begin(endpoint.id, self._kernel.clock.now())
        if model is not None and model.adapter:
            self._note_use(endpoint, model, 1)

    def end(self, endpoint: Endpoint, model: Model | None) -> None:
        """Count a call as over."""
        self.health.end(endpoint.id)
        if model is not None and model.adapter:
            self._note_use(endpoint, model, -1)

    def is_known(self, service: str) -> bool:
        """Tell whether a service has an endpoint that takes calls."""
        return bool(self._follower.directory.list_ready(service))

    def can_load(self, service: str) -> bool:
        """Tell whether any engine of a service has an owner that orders."""
        now = self._kernel.clock.now()
        ready = self._follower.directory.list_ready(service)
        return any(self._has_owner(zone, now) for zone in {one.zone for one in ready})

    def await_load(self, waiter: Waiter, excluded: set[str]) -> None:
        """Ask for an adapter; ``on_ready`` is called when to choose again."""
        key = (waiter.service, waiter.model)
        wish = self._wishes.setdefault(key, Wish())
        wish.waiters.append(waiter)
        if self._kernel.clock.now() - wish.asked_at >= ASK_PERIOD:
            self._ask(key, wish, excluded)

    def note_missing(self, endpoint: str, model: Model) -> None:
        """Learn that an engine refused a call for want of an adapter."""
        self._residency.drop(endpoint, model)
        known = self._follower.directory.get(endpoint)
        if known is not None:
            self._send_ask(known, model, 0, True)

    def _filter_holders(self, endpoints: list[Endpoint], model: Model) -> list:
        least = self._follower.find_version(model)
        return [one for one in endpoints if self._residency.holds(one.id, model, least)]

    def _note_use(self, endpoint: Endpoint, model: Model, change: int) -> None:
        """Count a call that begins (1) or ends (-1), for the owner."""
        key = (endpoint.id, model)
        uses = self._uses.setdefault(endpoint.zone, {})
        uses[key] = uses.get(key, 0) + max(0, change)
        running = self._running.get(key, 0) + change
        if running > 0:
            self._running[key] = running
        else:
            self._running.pop(key, None)

    # Asking.

    def _ask(self, key: tuple[str, Model], wish: Wish, excluded: set[str]) -> None:
        service, model = key
        endpoint = self._choose_home(service, model, excluded | wish.denied)
        if endpoint is None:
            wish.denied.clear()
            return
        wish.asked_at = self._kernel.clock.now()
        wish.endpoint = endpoint.id
        priority = min((one.priority for one in wish.waiters), default=0)
        self._send_ask(endpoint, model, priority, False)
        for waiter in wish.waiters:
            waiter.on_ask(endpoint)

    def _choose_home(
        self, service: str, model: Model, excluded: set[str]
    ) -> Endpoint | None:
        """Return the engine at which an adapter should be loaded."""
        now = self._kernel.clock.now()
        ranked = self._rank_homes(service, model, now)
        possible = [one for one in ranked if one.id not in excluded]
        limit = OTHER_OWNER_LIMIT
        served = [one for one in possible if self._has_owner(one.zone, now, limit)]
        full = find_overloaded(ranked, self._weigh(ranked, now))
        free = [one for one in served if one.id not in full]
        return (free or served or possible or [None])[0]

    def _rank_homes(self, service: str, model: Model, now: float) -> list[Endpoint]:
        """Return the usable engines of a service, an adapter's home first."""
        ready = self._follower.directory.list_ready(service)
        usable = self.health.list_usable(ready, now)
        return self._homes.rank(service, usable, model, len(usable))

    def _has_owner(self, zone: str, now: float, limit: float = OWNER_LIMIT) -> bool:
        heard, pulse = self._pulses.get(zone, (float("-inf"), None))
        return now - heard < limit and pulse.is_ready

    def _send_ask(
        self, endpoint: Endpoint, model: Model, priority: int, is_missing: bool
    ) -> None:
        owner = self._leases.find_owner(endpoint.zone)
        if owner is None:
            return
        ask = Ask(
            self._kernel.settings.peer,
            endpoint.zone,
            endpoint.id,
            model.base,
            model.adapter,
            self._follower.find_version(model),
            priority,
            is_missing,
        )
        self._transport.send(owner, ask)

    def _ask_again(self) -> None:
        now = self._kernel.clock.now()
        for key, wish in list(self._wishes.items()):
            wish.waiters = [one for one in wish.waiters if one.is_open]
            if not wish.waiters:
                del self._wishes[key]
            elif now - wish.asked_at >= ASK_PERIOD:
                self._ask(key, wish, set())

    def _wake(self, model: Model) -> None:
        """Let the calls that wait for an adapter choose again."""
        for key in [key for key in self._wishes if key[1] == model]:
            for waiter in self._wishes.pop(key).waiters:
                if waiter.is_open:
                    waiter.is_open = False
                    waiter.on_ready()

    # What the owners tell.

    def _subscribe(self) -> None:
        now = self._kernel.clock.now()
        for zone in self._leases.list_zones():
            last = self._subscribed_at.get(zone, float("-inf"))
            period = SUBSCRIBE_PERIOD
            if self._uses.get(zone):
                period = min(period, TELL_PERIOD * self.count_instances())
            if now - last >= period - TELL_TICK / 2:
                self._subscribe_zone(zone)

    def _subscribe_zone(self, zone: str) -> None:
        owner = self._leases.find_owner(zone)
        if owner is None:
            return
        self._subscribed_at[zone] = self._kernel.clock.now()
        uses = [
            [key[0], key[1].base, key[1].adapter, begun, self._running.get(key, 0)]
            for key, begun in self._uses.pop(zone, {}).items()
        ]
        fence, serial = self._news.get(zone, (0, 0))
        own = self._kernel.settings.peer
        is_candidate = self._leases.is_candidate and self._follower.is_reachable
        home = self._kernel.settings.zone
        subscription = Subscribe(
            own,
            home,
            is_candidate,
            zone,
            fence,
            serial,
            list(self._list_news),
            self._kernel.clock.now(),
            uses,
        )
        self._transport.send(owner, subscription)

    def _take_pulse(self, sender: str, pulse: Pulse) -> None:
        self._pulses[pulse.zone] = (self._kernel.clock.now(), pulse)
        for endpoint, running in pulse.running:
            own = self.health.count_running(endpoint)
            self._told[endpoint] = Told(running, own, pulse.zone)
        self._leases.note_pulse(pulse.zone, pulse.is_ready)
        state = KnownState(*pulse.state)
        is_current = (pulse.fence, state.list_serial) == self._list_news
        if pulse.zone == self._kernel.settings.zone and is_current:
            self._follower.note_state(state, pulse.asked_at)

    def _take_list_news(self, sender: str, news: ListNews) -> None:
        fence, serial = self._list_news
        is_next = (news.fence, news.serial) == (fence, serial + 1)
        if news.zone != self._kernel.settings.zone or self._leases.list_held():
            return
        if news.version < self._follower.list_version:
            # An owner that is cut from the store knows less than this process.
            return
        if news.is_whole or is_next:
            # Behind a gap the next subscription brings the whole list.
            self._list_news = (news.fence, news.serial)
            self._follower.relay_list(news)

    def _take_listing(self, sender: str, listing: Listing) -> None:
        if not self._note_serial(listing, True):
            return
        held = {Model(base, name): version for base, name, version in listing.held}
        self._residency.replace(listing.endpoint, held)
        for model in held:
            self._wake(model)

    def _take_news(self, sender: str, news: News) -> None:
        if not self._note_serial(news, False):
            return
        for endpoint, base, adapter, version in news.changes:
            model = Model(base, adapter)
            if version < 0:
                self._residency.drop(endpoint, model)
                continue
            self._residency.put(endpoint, model, version)
            self._wake(model)

    def _take_loaded(self, sender: str, loaded: Loaded) -> None:
        model = Model(loaded.base, loaded.adapter)
        self._residency.put(loaded.endpoint, model, loaded.version)
        self._wake(model)

    def _note_serial(self, message: Listing | News, is_whole: bool) -> bool:
        """Follow an owner's news; False means that they are outdated.

        A gap leaves the serial behind, so that the next subscription brings
        whole listings.
        """
        fence, serial = self._news.get(message.zone, (0, 0))
        if message.fence < fence:
            return False
        is_next = message.fence == fence and message.serial <= serial + 1
        if is_whole or is_next:
            serial = max(serial, message.serial) if is_next else message.serial
            self._news[message.zone] = (message.fence, serial)
        return True

    def _take_denial(self, sender: str, denial: Denial) -> None:
        model = Model(denial.base, denial.adapter)
        for (service, wanted), wish in list(self._wishes.items()):
            if wanted == model and wish.endpoint == denial.endpoint:
                wish.denied.add(denial.endpoint)
                if len(wish.denied) < CANDIDATES:
                    self._ask((service, wanted), wish, set())

    def _forget_gone(self) -> None:
        known = {endpoint.id for endpoint in self._follower.directory.list_all()}
        gone = [one for one in self._residency.list_endpoints() if one not in known]
        self._residency.forget(gone)
        now = self._kernel.clock.now()
        self._told = {name: told for name, told in self._told.items() if name in known}
        self._spread_at = {
            model: at
            for model, at in self._spread_at.items()
            if now - at < SPREAD_PERIOD
        }
        self.health.forget(known)
        self.paces.forget(known)
