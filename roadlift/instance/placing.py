"""Find an engine that holds an adapter, or have it loaded."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.balancing import MAX_RETRY_FILL
from roadlift.decisions.inactivity import InactivityMonitor
from roadlift.decisions.loading import AdapterSource, GenerationTimes, LoadWaits
from roadlift.decisions.placement import Engine, Option, Requirements, choose_engine
from roadlift.decisions.reading import ReadingTimes
from roadlift.decisions.urgency import Urgency
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.limits import EndpointLimits
from roadlift.instance.serviceloads import ServiceLoads
from roadlift.instance.subscription import Subscription
from roadlift.instance.waiting import Waiter, Wish
from roadlift.serving.calls import Call, Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import Ask, Denial
from roadlift.serving.pace import Paces
from roadlift.serving.selection import (
    Homes,
    Load,
    choose_least_loaded,
)

ASK_PERIOD = 0.3  # Seconds after which an asking is sent again.
# Seconds for which an engine is not asked again for an adapter that it was
# denied for, and between looks at what is to be asked for again.
DENIAL_PAUSE = 0.1
# Engines that are considered for one adapter, beside those that hold it. Many
# instances know the same, some tenths of a second late, and would all choose
# the same one of all engines; the homes of adapters differ.
MOST_CANDIDATES = 10
SILENCE_TICK = 0.1  # Seconds between looks for engines that went silent.
# Seconds without a sign of an owner behind which an engine of another zone is
# asked: signs come each 0.25 s, and through an aggregator as late again.
SIGN_LIMIT = 0.55

log = ComponentLog("placing")


class Rest(NamedTuple):
    """An endpoint that wants no calls from this instance for some seconds."""

    endpoint: Endpoint
    seconds: float


@components.register("placing")
class Placing:
    """What this process knows of loaded adapters, and asks for."""

    name = "placing"
    needs = (
        "follower",
        "knowledge",
        EndpointLimits.name,
        "serviceloads",
        Availabilities.name,
        "subscription",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._standings = kernel.get(Availabilities)
        self._subscription = kernel.get(Subscription)
        self._services = kernel.get(ServiceLoads)
        self._limits = kernel.get(EndpointLimits)
        self._rng = random.Random(kernel.started_at_ms)
        self._residency = self._knowledge.residency
        self._homes = Homes()
        self._loading = LoadWaits()
        self._workload = self._knowledge.workload
        self._wishes: dict[tuple[str, Model], Wish] = {}
        self._timers: list = []
        self.health = self._knowledge.health
        self.paces = Paces()
        self.reading_times = ReadingTimes()
        self.generations = GenerationTimes()
        self.silence = InactivityMonitor()
        self._knowledge.on_held.append(self._wake)
        self._knowledge.on_denial.append(self._take_denial)
        self._follower.on_directory.append(self._forget_gone)

    def start(self) -> None:
        """Begin to ask again."""
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(DENIAL_PAUSE, self._ask_again),
            loop.call_every(SILENCE_TICK, self._look_for_silence),
        ]

    def close(self) -> None:
        """Ask no more."""
        for timer in self._timers:
            timer.close()

    # Choosing.

    def choose(self, service: str, excluded: set[str]) -> Endpoint | None:
        """Return the endpoint of a plain service for a call, or None."""
        now = self._kernel.clock.now()
        usable = self._list_unspared(service, excluded, now)
        usable = usable or self._list_last_resort(service, excluded)
        zone = self._services.spread.choose_zone(service, usable, now)
        if zone is not None:
            usable = [one for one in usable if one.zone == zone] or usable
        home = self._kernel.settings.zone
        return choose_least_loaded(usable, home, self._weigh(usable, now), self._rng)

    def _list_unspared(
        self, service: str, excluded: set[str], now: float
    ) -> list[Endpoint]:
        """Return the endpoints that take a plain call.

        Those in need are left out while others have slots to spare.
        """
        usable = self._list_open(service, excluded, now)
        others = [one for one in usable if not self._limits.is_in_reserve(one.id)]
        fill = self._services.spread.compute_fill(service, others, now)
        return others if others and fill < MAX_RETRY_FILL else usable

    def _list_open(
        self, service: str, excluded: set[str], now: float
    ) -> list[Endpoint]:
        """Return the usable endpoints whose limit is not used up."""
        usable = self._list_usable(service, excluded, now)
        return [one for one in usable if not self._limits.is_exhausted(one.id)]

    def measure_limit_wait(self, service: str, excluded: set[str]) -> float | None:
        """Return the seconds until a service's limits have a send free.

        None where limits are not why there is no endpoint for a call.
        """
        waits = [
            self._limits.measure_wait(one.id)
            for one in self._follower.directory.list_ready(service)
            if self._limits.find(one.id) is not None
            and (one.id in excluded or self._limits.is_exhausted(one.id))
        ]
        return min(waits, default=None)

    def holds(self, endpoint: Endpoint, model: Model | None) -> bool:
        """Tell whether an endpoint still takes calls for an adapter."""
        known = self._follower.directory.get(endpoint.id)
        is_last_resort = self._standings.is_last_resort(endpoint.id)
        if known is None or (known.is_draining and not is_last_resort):
            return False
        if model is None or not model.adapter:
            return True
        least = self._follower.find_version(model)
        return self._residency.holds(endpoint.id, model, least)

    def refuse(self, service: str, objective: float) -> float | None:
        """Return when a call may come back that a full service can't run.

        None lets it in; ``objective`` is in seconds.
        """
        now = self._kernel.clock.now()
        self._services.find_own(service).count_request(now)
        usable = self._list_open(service, set(), now)
        if not usable:
            return None
        return self._services.spread.refuse(service, usable, objective, now)

    def has_spare_room(self, service: str) -> bool:
        """Tell whether a plain service has slots to spare for second tries."""
        now = self._kernel.clock.now()
        usable = self._list_open(service, set(), now)
        fill = self._services.spread.compute_fill(service, usable, now)
        return fill < MAX_RETRY_FILL

    def choose_engine(
        self, service: str, call: Call, excluded: set[str]
    ) -> Option | None:
        """Return the best engine for a call, or None where there is none.

        Its adapter may have to be loaded there first.
        """
        return self._find_best(service, call.model, call.tokens_in, excluded)

    def _find_best(
        self, service: str, model: Model, tokens: int, excluded: set[str]
    ) -> Option | None:
        now = self._kernel.clock.now()
        usable = self._list_usable(service, excluded, now)
        need = Requirements(tokens, self._kernel.settings.zone)
        engines = self._view(service, usable, model, now)
        option = choose_engine(need, engines, self.reading_times, self._loading, now)
        if option is not None:
            return option
        leaving = self._list_last_resort(service, excluded)
        engines = [
            one._replace(can_load=False)
            for one in self._view(service, leaving, model, now)
        ]
        return choose_engine(need, engines, self.reading_times, self._loading, now)

    def estimate_load(self, option: Option) -> float:
        """Return the seconds in which a load is done that begins now."""
        now = self._kernel.clock.now()
        return self._loading.estimate_upper_bound(option.engine.source, now)

    def estimate_reading(self, option: Option, call: Call) -> float:
        """Return the seconds that an engine takes to read a call's prompt."""
        now = self._kernel.clock.now()
        pace = self.reading_times.estimate(option.engine.endpoint.id, now)
        return pace * call.tokens_in

    def _look_for_silence(self) -> None:
        now = self._kernel.clock.now()
        silent = self.silence.list_unresponsive(now)
        for endpoint in silent:
            self.health.note_absence(endpoint, now)
            log.event("endpoint_silent", endpoint=endpoint)
        # All are known to be silent before a call chooses another engine.
        for endpoint in silent:
            self.silence.abandon(endpoint)

    def _list_usable(
        self, service: str, excluded: set[str], now: float
    ) -> list[Endpoint]:
        ready = self._follower.directory.list_ready(service)
        usable = self.health.list_usable(self._standings.list_available(ready), now)
        return [one for one in usable if one.id not in excluded]

    def _list_last_resort(self, service: str, excluded: set[str]) -> list[Endpoint]:
        """Return the leaving endpoints that take what no other can."""
        return [
            one
            for one in self._follower.directory.list_service(service)
            if one.id not in excluded
            and self._standings.is_last_resort(one.id)
            and not self._standings.measure_backoff(one.id)
        ]

    def find_rest(self, service: str, model: Model | None) -> Rest | None:
        """Return the first rest to end of those that are in a call's way.

        Those are of endpoints that hold what it needs, or of all where all of
        the service rest; None where there are none.
        """
        ready = self._follower.directory.list_ready(service)
        rests = [Rest(one, self._standings.measure_backoff(one.id)) for one in ready]
        resting = [rest for rest in rests if rest.seconds > 0.0]
        if len(resting) < len(ready):
            least = self._follower.find_version(model) if model is not None else 0
            resting = [
                rest for rest in resting if self._is_held(rest.endpoint, model, least)
            ]
        return min(resting, key=lambda rest: rest.seconds, default=None)

    def _is_held(self, endpoint: Endpoint, model: Model | None, least: int) -> bool:
        """Tell whether an engine holds what a call needs."""
        if model is None or not endpoint.holds(model.base):
            return False
        return self._find_source(endpoint.id, model, least) is AdapterSource.HELD

    def _view(
        self, service: str, usable: list[Endpoint], model: Model, now: float
    ) -> list[Engine]:
        """Return what is known of the engines that a call may go to."""
        least = self._follower.find_version(model) if model.adapter else 0
        ranked = self._list_candidates(service, usable, model)
        return [
            Engine(
                endpoint,
                self.count_ahead(endpoint.id),
                self._workload.count_free_slots(endpoint.id),
                self._find_source(endpoint.id, model, least),
                rank,
                self._knowledge.has_owner(endpoint.zone),
                self._workload.measure_queue(endpoint.id),
                self._limits.measure_wait(endpoint.id),
                self._limits.is_in_reserve(endpoint.id),
            )
            for rank, endpoint in enumerate(ranked)
            if endpoint.holds(model.base) and not self._limits.is_exhausted(endpoint.id)
        ]

    def _list_candidates(
        self, service: str, usable: list[Endpoint], model: Model
    ) -> list[Endpoint]:
        """Return the engines for a model, the homes of an adapter first."""
        if not model.adapter:
            return usable
        ranked = self._homes.rank(service, usable, model, MOST_CANDIDATES)
        holders = self._residency.find(model)
        return ranked + [
            one for one in usable if one.id in holders and one not in ranked
        ]

    def _find_source(self, endpoint: str, model: Model, least: int) -> AdapterSource:
        if not model.adapter or self._residency.holds(endpoint, model, least):
            return AdapterSource.HELD
        if self._residency.is_at_hand(endpoint, model, least):
            return AdapterSource.AT_HAND
        return AdapterSource.STORE

    def count_ahead(self, endpoint: str) -> int:
        """Return about how many prompt tokens are to be read at an engine."""
        return self._workload.count_ahead(endpoint)

    def count_running(self, endpoint: str) -> int:
        """Return about how many calls run at an endpoint, of all instances.

        That is what its owner told last, and what this process began since;
        where no owner tells it, this process's own calls.
        """
        own = self.health.count_running(endpoint)
        return self._workload.count_running(endpoint, own)

    def _weigh(self, endpoints: Iterable[Endpoint], now: float) -> Load:
        """Return what tells the calls at endpoints, weighed by their pace."""
        factors = self.paces.compare([one.id for one in endpoints], now)
        return lambda name: self.count_running(name) * factors.get(name, 1.0)

    def begin(self, endpoint: Endpoint, call: Call) -> None:
        """Count a call as under way at an endpoint."""
        self.health.begin(endpoint.id, self._kernel.clock.now())
        if call.model is None:
            now = self._kernel.clock.now()
            self._services.find_own(endpoint.service).begin(now)
            return
        self._note_reading(endpoint, call.tokens_in)
        if call.model.adapter:
            self._subscription.note_use(endpoint, call.model, 1)

    def note_read(self, endpoint: Endpoint, call: Call) -> None:
        """Count a call's prompt as read, or as not to be read any more."""
        if call.model is not None:
            self._note_reading(endpoint, -call.tokens_in)

    def end(self, endpoint: Endpoint, call: Call, has_run: bool) -> None:
        """Count a call as over."""
        self.health.end(endpoint.id)
        if call.model is None:
            now = self._kernel.clock.now()
            self._services.find_own(endpoint.service).end(has_run, now)
        if call.model is not None and call.model.adapter:
            self._subscription.note_use(endpoint, call.model, -1)

    def _note_reading(self, endpoint: Endpoint, change: int) -> None:
        self._workload.change_reading(endpoint.id, change)
        self._subscription.note_reading(endpoint)

    def is_known(self, service: str) -> bool:
        """Tell whether a service has an endpoint that takes calls."""
        ready = self._follower.directory.list_ready(service)
        return bool(ready or self._list_last_resort(service, set()))

    def await_load(self, waiter: Waiter, option: Option) -> None:
        """Ask for an adapter; ``on_ready`` is called when to choose again."""
        key = (waiter.service, waiter.model)
        wish = self._wishes.get(key)
        now = self._kernel.clock.now()
        if wish is None:
            wish = self._wishes[key] = Wish(now)
        wish.waiters.append(waiter)
        if now - wish.asked_at >= ASK_PERIOD:
            self._ask(key, wish, option.engine)
        else:
            self._commit(waiter, wish.engine.endpoint)

    def _commit(self, waiter: Waiter, endpoint: Endpoint) -> None:
        """Count the prompt of a call that waits as coming to an engine.

        Else all that choose while a load is on its way choose the same engine.
        """
        if not waiter.is_open:
            return
        waiter.commit(lambda: self._note_reading(endpoint, -waiter.tokens))
        self._note_reading(endpoint, waiter.tokens)

    def note_missing(self, endpoint: str, model: Model) -> None:
        """Learn that an engine refused a call for want of an adapter."""
        self._knowledge.drop(endpoint, model)
        known = self._follower.directory.get(endpoint)
        if known is not None:
            self._send_ask(known, model, Urgency(0), True)

    # Asking.

    def _ask(self, key: tuple[str, Model], wish: Wish, engine: Engine) -> None:
        _, model = key
        endpoint = engine.endpoint
        wish.asked_at = wish.first_asked_at = self._kernel.clock.now()
        wish.endpoint = endpoint.id
        wish.denied.pop(endpoint.id, None)
        wish.engine = engine
        self._send_ask(endpoint, model, wish.measure_urgency(wish.asked_at))
        self._workload.reserve_slot(endpoint.id)
        for waiter in wish.waiters:
            self._commit(waiter, endpoint)
            waiter.on_ask(endpoint)

    def _repeat_ask(self, key: tuple[str, Model], wish: Wish, now: float) -> None:
        """Tell the engine's owner that calls still wait, or ask another.

        One engine is asked at a time: a load that is not used takes the place
        of another.
        """
        endpoint = wish.engine.endpoint
        known = self._follower.directory.get(endpoint.id)
        is_there = known is not None and not known.is_draining
        silence = self._knowledge.measure_silence(endpoint.zone)
        is_owned = silence < SIGN_LIMIT and self._knowledge.has_owner(endpoint.zone)
        if is_there and is_owned:
            wish.asked_at = now
            self._send_ask(endpoint, key[1], wish.measure_urgency(now))
        else:
            wish.denied[endpoint.id] = now
            self._ask_elsewhere(key, wish)

    def _ask_elsewhere(self, key: tuple[str, Model], wish: Wish) -> None:
        """Ask the engine that is now the best for an adapter."""
        service, model = key
        now = self._kernel.clock.now()
        recent = {name for name, at in wish.denied.items() if now - at < DENIAL_PAUSE}
        for waiter in wish.waiters:
            waiter.release()
        tokens = max((one.tokens for one in wish.waiters), default=0)
        option = self._find_best(service, model, tokens, recent)
        if option is None:
            return
        for waiter in wish.waiters:
            late = now + option.expected - waiter.leaves_at
            if late > 0 and waiter.is_open:
                waiter.on_hopeless(late)
        wish.waiters = [one for one in wish.waiters if one.is_open]
        if not wish.waiters:
            self._wishes.pop(key, None)
            return
        if option.engine.source is AdapterSource.HELD:
            self._wake(model, "")
        else:
            self._ask(key, wish, option.engine)

    def _send_ask(
        self,
        endpoint: Endpoint,
        model: Model,
        urgency: Urgency,
        is_missing: bool = False,
    ) -> None:
        ask = Ask(
            self._kernel.settings.peer,
            endpoint.zone,
            endpoint.id,
            model.base,
            model.adapter,
            self._follower.find_version(model),
            list(urgency),
            is_missing,
            False,
        )
        self._subscription.send_ask(ask)

    def _ask_again(self) -> None:
        now = self._kernel.clock.now()
        for key, wish in list(self._wishes.items()):
            wish.waiters = [one for one in wish.waiters if one.is_open]
            if not wish.waiters:
                del self._wishes[key]
            elif wish.endpoint in wish.denied:
                self._ask_elsewhere(key, wish)
            elif now - wish.asked_at >= ASK_PERIOD:
                self._repeat_ask(key, wish, now)

    def _wake(self, model: Model, endpoint: str) -> None:
        """Let the calls that wait for an adapter choose again."""
        for key in [key for key in self._wishes if key[1] == model]:
            wish = self._wishes.pop(key)
            if wish.endpoint == endpoint:
                self._learn_wait(wish)
            for waiter in wish.waiters:
                if waiter.is_open:
                    waiter.close()
                    waiter.on_ready()

    def note_overdue(self, waiter: Waiter) -> None:
        """Learn from a call that was refused while it waited for a load.

        The load takes as long at least. Were only those learned from that
        come in time, a prediction that is too short would stay so, and each
        call behind it be refused.
        """
        wish = self._wishes.get((waiter.service, waiter.model))
        if wish is not None:
            self._learn_wait(wish)

    def _learn_wait(self, wish: Wish) -> None:
        """Learn how long a load takes that came, or was given up."""
        now = self._kernel.clock.now()
        if wish.engine is None:
            return
        queue = wish.engine.queue
        if wish.engine.places > 0:
            waited = max(0.0, now - wish.first_asked_at - queue)
            self._loading.note(wish.engine.source, waited, now)
            return
        load = self._loading.estimate(wish.engine.source, now)
        waited = max(0.0, now - wish.began_at - load - queue)
        self._loading.record_slot_wait(waited / (1 - wish.engine.places), now)

    # What the owners tell.

    def _take_denial(self, denial: Denial) -> None:
        model = Model(denial.base, denial.adapter)
        for (service, wanted), wish in list(self._wishes.items()):
            if wanted == model and wish.endpoint == denial.endpoint:
                self._workload.mark_full(denial.endpoint)
                wish.denied[denial.endpoint] = self._kernel.clock.now()
                self._ask_elsewhere((service, wanted), wish)

    def _forget_gone(self) -> None:
        known = {endpoint.id for endpoint in self._follower.directory.list_all()}
        self.reading_times.forget(known)
        self.paces.forget(known)
