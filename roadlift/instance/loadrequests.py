"""Request loads of adapters, and let the calls that wait for them go on."""

from roadlift.core.kernel import Kernel, components
from roadlift.decisions.homes import Scope
from roadlift.decisions.loading import AdapterSource
from roadlift.decisions.placement import Engine, Option
from roadlift.decisions.urgency import Urgency
from roadlift.instance.candidates import Candidates
from roadlift.instance.enginechoice import EngineChoice
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.pendingloads import PendingLoad, Waiter
from roadlift.instance.subscription import Subscription
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import Ask, Denial

LOAD_REQUEST_INTERVAL = 0.3  # Seconds after which a load request is repeated.
# Seconds for which an engine that denied a load is not requested again for the
# same adapter; also the interval between checks for load requests to repeat.
DENIAL_BACKOFF = 0.1
# Seconds without a liveness signal from an owner after which an engine of
# another zone is requested. Owners send one each 0.25 s, and an aggregator
# adds up to as much again.
OWNER_INACTIVITY_TIMEOUT = 0.55

_Key = tuple[Scope, Model]


@components.register("loadrequests")
class LoadRequests:
    """The loads that calls of this process wait for."""

    name = "loadrequests"
    needs = (
        Candidates.name,
        EngineChoice.name,
        "follower",
        "knowledge",
        "subscription",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._peer = kernel.settings.peer
        self._choice = kernel.get(EngineChoice)
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._subscription = kernel.get(Subscription)
        self._pending: dict[_Key, PendingLoad] = {}
        self._copies_requested_at: dict[Model, float] = {}
        self._timer = None
        self._knowledge.on_held.append(self._notify_waiters)
        self._knowledge.on_denial.append(self._handle_denial)

    def start(self) -> None:
        """Start to repeat requests."""
        self._timer = self._loop.call_every(DENIAL_BACKOFF, self._repeat_requests)

    def close(self) -> None:
        """Stop to repeat requests."""
        self._timer.close()

    def await_load(self, waiter: Waiter, option: Option) -> None:
        """Request an adapter; ``on_ready`` is called when to choose again."""
        key = (waiter.scope, waiter.model)
        pending = self._pending.get(key)
        now = self._clock.now()
        if pending is None:
            pending = self._pending[key] = PendingLoad(now)
        pending.waiters.append(waiter)
        if now - pending.requested_at >= LOAD_REQUEST_INTERVAL:
            self._request_load(key, pending, option.engine)
        else:
            self._commit(waiter, pending.engine.endpoint)

    def request_copy(self, model: Model, option: Option, urgency: Urgency) -> None:
        """Request a load for which no call waits.

        It is requested again while calls for the adapter keep coming.
        """
        now = self._clock.now()
        last = self._copies_requested_at.get(model, float("-inf"))
        if now - last < LOAD_REQUEST_INTERVAL:
            return
        self._copies_requested_at[model] = now
        self._send_request(option.engine.endpoint, model, urgency)

    def report_missing(self, endpoint: str, model: Model) -> None:
        """Record that an engine rejected a call because it lacks the adapter.

        The owner of the engine is notified as well.
        """
        self._knowledge.drop(endpoint, model)
        listed = self._follower.directory.get(endpoint)
        if listed is not None:
            self._send_request(listed, model, Urgency(0), True)

    def record_overdue(self, waiter: Waiter) -> None:
        """Update the load time estimate by a call that was refused.

        Its load takes at least as long as the call waited. If only loads that
        complete in time were recorded, an estimate that is too short would
        never be corrected, and every later call would be refused.
        """
        pending = self._pending.get((waiter.scope, waiter.model))
        if pending is not None:
            self._record_load_time(pending)

    def _update_unread(self, endpoint: Endpoint, change: int) -> None:
        self._knowledge.workload.change_reading(endpoint.id, change)
        self._subscription.record_reading_change(endpoint)

    def _commit(self, waiter: Waiter, endpoint: Endpoint) -> None:
        """Count the prompt of a waiting call as unread at an engine.

        Otherwise all calls that choose while a load is in progress would
        choose the same engine.
        """
        if not waiter.is_open:
            return
        tokens = waiter.requirements.tokens
        waiter.commit(lambda: self._update_unread(endpoint, -tokens))
        self._update_unread(endpoint, tokens)

    def _request_load(self, key: _Key, pending: PendingLoad, engine: Engine) -> None:
        _, model = key
        endpoint = engine.endpoint
        pending.requested_at = pending.first_requested_at = self._clock.now()
        pending.endpoint = endpoint.id
        pending.denied.pop(endpoint.id, None)
        pending.engine = engine
        self._send_request(
            endpoint, model, pending.compute_urgency(pending.requested_at)
        )
        self._knowledge.workload.reserve_slot(endpoint.id)
        for waiter in pending.waiters:
            self._commit(waiter, endpoint)
            waiter.on_request(endpoint)

    def _repeat_request(self, key: _Key, pending: PendingLoad, now: float) -> None:
        """Repeat the request at the engine's owner, or request another engine.

        Only one engine is requested at a time, because a load that is not used
        occupies the adapter slot of another adapter.
        """
        endpoint = pending.engine.endpoint
        owner_inactivity = self._knowledge.compute_inactivity(endpoint.zone)
        is_owner_alive = (
            owner_inactivity < OWNER_INACTIVITY_TIMEOUT
            and self._knowledge.has_owner(endpoint.zone)
        )
        if self._follower.directory.is_ready(endpoint.id) and is_owner_alive:
            pending.requested_at = now
            self._send_request(endpoint, key[1], pending.compute_urgency(now))
        else:
            pending.denied[endpoint.id] = now
            self._request_elsewhere(key, pending)

    def _request_elsewhere(self, key: _Key, pending: PendingLoad) -> None:
        """Request an adapter at the engine that is the best choice now."""
        scope, model = key
        now = self._clock.now()
        recently_denied = {
            name for name, at in pending.denied.items() if now - at < DENIAL_BACKOFF
        }
        for waiter in pending.waiters:
            waiter.release()
        if not pending.waiters:
            return
        largest = max(pending.waiters, key=lambda waiter: waiter.requirements.tokens)
        option = self._choice.find_best(
            scope, model, largest.requirements, recently_denied
        )
        if option is None:
            return
        for waiter in pending.waiters:
            lateness = now + option.expected - waiter.disconnects_at
            if lateness > 0 and waiter.is_open:
                waiter.on_too_late(lateness)
        pending.waiters = [one for one in pending.waiters if one.is_open]
        if not pending.waiters:
            self._pending.pop(key, None)
            return
        if option.engine.source is AdapterSource.HELD:
            self._notify_waiters(model, "")
        else:
            self._request_load(key, pending, option.engine)

    def _send_request(
        self,
        endpoint: Endpoint,
        model: Model,
        urgency: Urgency,
        is_missing: bool = False,
    ) -> None:
        request = Ask(
            self._peer,
            endpoint.zone,
            endpoint.id,
            model.base,
            model.adapter,
            self._follower.find_version(model),
            list(urgency),
            is_missing,
            False,
        )
        self._subscription.send_load_request(request)

    def _repeat_requests(self) -> None:
        now = self._clock.now()
        for key, pending in list(self._pending.items()):
            if self._pending.get(key) is not pending:
                # The calls of another scope were served by the same load.
                continue
            pending.waiters = [one for one in pending.waiters if one.is_open]
            if not pending.waiters:
                del self._pending[key]
            elif pending.endpoint in pending.denied:
                self._request_elsewhere(key, pending)
            elif now - pending.requested_at >= LOAD_REQUEST_INTERVAL:
                self._repeat_request(key, pending, now)
        for model, at in list(self._copies_requested_at.items()):
            if now - at >= LOAD_REQUEST_INTERVAL:
                del self._copies_requested_at[model]

    def _notify_waiters(self, model: Model, endpoint: str) -> None:
        """Let the calls that wait for an adapter choose again."""
        for key in [key for key in self._pending if key[1] == model]:
            pending = self._pending.pop(key)
            if pending.endpoint == endpoint:
                self._record_load_time(pending)
            for waiter in pending.waiters:
                if waiter.is_open:
                    waiter.close()
                    waiter.on_ready()

    def _record_load_time(self, pending: PendingLoad) -> None:
        """Update the load time estimate by a completed or abandoned load."""
        now = self._clock.now()
        if pending.engine is None:
            return
        load_waits = self._choice.load_waits
        queue = pending.engine.queue
        if pending.engine.places > 0:
            waited = max(0.0, now - pending.first_requested_at - queue)
            load_waits.note(pending.engine.source, waited, now)
            return
        load = load_waits.estimate(pending.engine.source, now)
        waited = max(0.0, now - pending.began_at - load - queue)
        load_waits.record_slot_wait(waited / (1 - pending.engine.places), now)

    def _handle_denial(self, denial: Denial) -> None:
        model = Model(denial.base, denial.adapter)
        for key, pending in list(self._pending.items()):
            is_open = self._pending.get(key) is pending
            if is_open and key[1] == model and pending.endpoint == denial.endpoint:
                self._knowledge.workload.mark_full(denial.endpoint)
                pending.denied[denial.endpoint] = self._clock.now()
                self._request_elsewhere(key, pending)
