"""Request permits for rate-limited endpoints, and grant them as an owner.

A permit lets an instance send one call to an endpoint. The owner of the
endpoint's zone grants them.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.transport import Transport
from roadlift.decisions.limits import (
    GRANT_TTL,
    LEASED_FRACTION,
    UNLEASED_FRACTION,
    Basis,
    Claim,
    SendLedger,
)
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.instance.limits import (
    LOCAL_FENCE,
    EndpointLimits,
    LimitAnnouncement,
    ReportedLimit,
)
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.ownerpath import OwnerPath
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import SendAsk, SendGrant

REQUEST_TIMEOUT = 0.08  # Seconds until an unanswered request is sent again.
MAX_ATTEMPTS = 3  # How often a request is sent.
# Seconds in which no request is sent to an owner that did not answer.
UNANSWERED_BACKOFF = 0.6
# Minimum seconds between two requests for an endpoint without free permits.
MIN_BACKOFF = 0.05
REPORT_INTERVAL = 0.2  # Seconds between two reports that a limit still stands.
# ``patience`` of a message that reports a limit, and requests no permit.
REPORT_ONLY = -1.0

log = ComponentLog("limits")


class PermitCallbacks(NamedTuple):
    """Callbacks with the result of a permit request.

    ``on_granted`` is called with the basis of the permit, ``on_denied`` with
    the seconds until one may be available.
    """

    on_granted: Callable[[Basis], None]
    on_denied: Callable[[float], None]


class PendingPermit:
    """A call that waits for a permit; ``close`` withdraws the request."""

    def __init__(self, endpoint: Endpoint, max_wait: float, now: float) -> None:
        self.endpoint = endpoint
        self.max_wait = max_wait
        self.requested_at = now
        self.attempts = 0
        self.callbacks: PermitCallbacks | None = None
        self.timer = None

    @property
    def is_open(self) -> bool:
        """Return whether the call still waits."""
        return self.callbacks is not None

    def close(self) -> None:
        """Stop waiting; a permit that is granted later serves another call."""
        self.callbacks = None


class _Permit(NamedTuple):
    """A permit to begin a send between two times."""

    begins_at: float
    expires_at: float
    basis: Basis


@components.register("permits")
class Permits:
    """The permits of rate-limited endpoints: requested here, and granted."""

    name = "permits"
    needs = (
        "follower",
        "knowledge",
        "leases",
        EndpointLimits.name,
        "measures",
        "subscription",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._peer = kernel.settings.peer
        self._process = f"{self._peer} {kernel.started_at_ms}"
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._limits = kernel.get(EndpointLimits)
        self._metrics = kernel.get(InstanceMetrics)
        self._path = OwnerPath(kernel, self._handle_request, self._handle_grant)
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, PendingPermit] = {}
        self._unused: dict[str, list[_Permit]] = {}
        self._ledgers: dict[str, SendLedger] = {}
        self._follower.on_directory.append(self._remove_gone)
        self._leases.on_change.append(self._reset_ledgers)
        transport = kernel.get(Transport)
        transport.subscribe((SendAsk,), self._path.handle_request)
        transport.subscribe((SendGrant,), self._path.handle_reply)

    def start(self) -> None:
        """Do nothing: requests are sent as calls arrive."""

    def close(self) -> None:
        """Drop the pending requests."""
        for wait in self._pending.values():
            wait.timer.close()
        self._pending.clear()

    # As the instance that sends calls.

    def ask(
        self, endpoint: Endpoint, max_wait: float, callbacks: PermitCallbacks
    ) -> PendingPermit | None:
        """Request a permit that is valid within ``max_wait`` seconds.

        None means that one of the callbacks was called already.
        """
        known = self._limits.find(endpoint.id)
        permit = self._pop_unused(endpoint.id)
        now = self._kernel.clock.now()
        if known is None or permit is not None:
            basis = permit.basis if permit else Basis(LOCAL_FENCE, 0)
            self._count(endpoint, "granted")
            callbacks.on_granted(basis)
            return None
        if now < known.next_request_at:
            callbacks.on_denied(self._limits.measure_wait(endpoint.id))
            return None
        wait = PendingPermit(endpoint, max_wait, now)
        wait.callbacks = callbacks
        self._send_request(next(self._request_numbers), wait)
        return wait

    def report_announcement(
        self, endpoint: Endpoint, announcement: LimitAnnouncement
    ) -> None:
        """Report to the owner what an endpoint announced in an answer."""
        known = self._limits.find(endpoint.id)
        now = self._kernel.clock.now()
        if known is None or announcement.limit is not None:
            if known is None or now - known.reported_at < REPORT_INTERVAL:
                return
            known.reported_at = now
            known.report_number = number = next(self._request_numbers)
        else:
            if announcement.basis != known.basis:
                return
            number = next(self._request_numbers)
        message = self._make_request(number, endpoint, REPORT_ONLY)
        message = message._replace(
            limit=announcement.limit, is_named=True, basis=list(announcement.basis)
        )
        self._path.request(message)

    def _pop_unused(self, endpoint: str) -> _Permit | None:
        """Return a valid permit that no call has used, or None."""
        now = self._kernel.clock.now()
        unused = [one for one in self._unused.pop(endpoint, ()) if now < one.expires_at]
        found = next((permit for permit in unused if permit.begins_at <= now), None)
        if found is not None:
            unused.remove(found)
        if unused:
            self._unused[endpoint] = unused
        return found

    def _remove_gone(self) -> None:
        """Drop the permits of endpoints that are gone."""
        for endpoint in list(self._unused):
            if self._follower.directory.get(endpoint) is None:
                del self._unused[endpoint]

    def _send_request(self, number: int, wait: PendingPermit) -> None:
        self._pending[number] = wait
        wait.attempts += 1
        wait.timer = self._kernel.loop.call_later(
            REQUEST_TIMEOUT, lambda: self._on_timeout(number)
        )
        self._path.request(self._make_request(number, wait.endpoint, wait.max_wait))

    def _make_request(
        self, number: int, endpoint: Endpoint, max_wait: float
    ) -> SendAsk:
        known = self._limits.find(endpoint.id)
        now = self._kernel.clock.now()
        return SendAsk(
            self._peer,
            "",
            self._process,
            endpoint.zone,
            endpoint.id,
            number,
            max_wait,
            known.limit if known else None,
            False,
            list(known.basis) if known else [0, 0],
            known.ungranted_sends if known else 0,
            -1.0 if known is None else known.measure_rest(now),
        )

    def _on_timeout(self, number: int) -> None:
        """Send the request again, or go on without an owner."""
        wait = self._pending.pop(number, None)
        if wait is None or not wait.is_open:
            return
        if wait.attempts < MAX_ATTEMPTS:
            self._send_request(number, wait)
        else:
            self._decide_without_owner(wait)

    def _decide_without_owner(self, wait: PendingPermit) -> None:
        """Decide within the minimum rate of instances without an owner.

        This process has an equal share of it.
        """
        endpoint, callbacks = wait.endpoint, wait.callbacks
        wait.close()
        known = self._limits.find(endpoint.id)
        if known is None:
            callbacks.on_granted(Basis(LOCAL_FENCE, 0))
            return
        now = self._kernel.clock.now()
        instances = self._knowledge.count_instances()
        if known.minimum_rate.take(known.limit, instances, now):
            self._count(endpoint, "floor")
            callbacks.on_granted(Basis(LOCAL_FENCE, known.announcements))
            return
        known.next_request_at = known.free_at = now + UNANSWERED_BACKOFF
        self._count(endpoint, "unheard")
        callbacks.on_denied(UNANSWERED_BACKOFF)

    def _handle_grant(self, message: SendGrant) -> None:
        """Handle an owner's reply."""
        self._limits.apply_owner_reply(
            _read_limit(message), message.endpoint, message.number
        )
        wait = self._pending.pop(message.number, None)
        if wait is not None:
            wait.timer.close()
        if message.patience == REPORT_ONLY:
            return
        if message.limit is None:
            self._grant_without_limit(wait)
        elif message.is_given:
            self._accept_permit(wait, message)
        else:
            self._deny(wait, message)

    def _grant_without_limit(self, wait: PendingPermit | None) -> None:
        """Let a call go without a permit, as the limit has ended."""
        if wait is not None and wait.is_open:
            callbacks = wait.callbacks
            wait.close()
            callbacks.on_granted(Basis(LOCAL_FENCE, 0))

    def _accept_permit(self, wait: PendingPermit | None, message: SendGrant) -> None:
        """Use a permit once it is valid, or keep it for another call.

        A request that was sent twice is answered twice with the same permit.
        """
        if wait is None:
            return
        now = self._kernel.clock.now()
        permit = _Permit(
            now + message.delay,
            wait.requested_at + message.delay + GRANT_TTL,
            Basis(*message.basis),
        )
        if not wait.is_open:
            self._unused.setdefault(message.endpoint, []).append(permit)
        elif message.delay <= 0.0:
            self._use(wait, permit)
        else:
            self._kernel.loop.call_later(message.delay, lambda: self._use(wait, permit))

    def _use(self, wait: PendingPermit, permit: _Permit) -> None:
        now = self._kernel.clock.now()
        if now >= permit.expires_at:
            # This process was delayed: after the sends of other instances,
            # this one would exceed the limit.
            self._count(wait.endpoint, "expired")
            if wait.is_open:
                callbacks = wait.callbacks
                wait.close()
                callbacks.on_denied(0.0)
            return
        if not wait.is_open:
            self._unused.setdefault(wait.endpoint.id, []).append(permit)
            return
        callbacks = wait.callbacks
        wait.close()
        self._count(wait.endpoint, "granted")
        callbacks.on_granted(permit.basis)

    def _deny(self, wait: PendingPermit | None, message: SendGrant) -> None:
        known = self._limits.find(message.endpoint)
        now = self._kernel.clock.now()
        if known is not None:
            known.free_at = now + message.delay
            backoff = max(MIN_BACKOFF, message.delay - message.patience)
            known.next_request_at = max(known.next_request_at, now + backoff)
        if wait is not None and wait.is_open:
            callbacks = wait.callbacks
            wait.close()
            self._count(wait.endpoint, "denied")
            callbacks.on_denied(message.delay)

    def _count(self, endpoint: Endpoint, outcome: str) -> None:
        self._metrics.count("roadlift_limited_sends", endpoint.service, outcome)

    # As an owner.

    def _handle_request(self, message: SendAsk) -> None:
        """Answer a request for a zone owned here."""
        grant = self._answer(message)
        self._path.reply(message.via or message.address, grant)

    def _answer(self, message: SendAsk) -> SendGrant:
        now = self._kernel.clock.now()
        ledger = self._find_ledger(message, now)
        if ledger is None:
            return _make_grant(message, None, Basis(0, 0), 0.0)
        claim = Claim(
            message.process,
            message.limit,
            message.is_named,
            Basis(*message.basis),
            message.spent,
            None if message.lasts < 0.0 else message.lasts,
        )
        before = ledger.limit
        if ledger.apply_claim(claim, now):
            log.event(
                "limit_given_out",
                endpoint=message.endpoint,
                limit=ledger.limit,
                before=before,
                asker=message.address,
            )
        grant = _make_grant(
            message, ledger.limit, ledger.basis, now - ledger.announced_at
        )
        if ledger.limit is None or message.patience == REPORT_ONLY:
            return grant
        lease = self._leases.get(message.zone)
        fraction = LEASED_FRACTION if lease.may_order(now) else UNLEASED_FRACTION
        granted = ledger.grant(
            message.process, message.number, message.patience, fraction, now
        )
        return grant._replace(is_given=granted.is_given, delay=round(granted.delay, 4))

    def _find_ledger(self, message: SendAsk, now: float) -> SendLedger | None:
        """Return an endpoint's ledger; a reported limit creates one."""
        ledger = self._ledgers.get(message.endpoint)
        if ledger is None and message.limit is not None:
            fence = self._leases.get(message.zone).fence
            ledger = self._ledgers[message.endpoint] = SendLedger(fence, now)
        return ledger

    def _reset_ledgers(self, zone: str) -> None:
        """Rebuild a zone's ledgers at a new term, from the local limits."""
        for endpoint in list(self._ledgers):
            found = self._follower.directory.get(endpoint)
            if found is None or found.zone == zone:
                del self._ledgers[endpoint]
        if zone not in self._leases.list_held():
            return
        now = self._kernel.clock.now()
        for endpoint, known in self._limits.list_known().items():
            found = self._follower.directory.get(endpoint)
            if found is not None and found.zone == zone:
                ledger = SendLedger(self._leases.get(zone).fence, now)
                rest = known.measure_rest(now)
                lasts = None if rest < 0.0 else rest
                claim = Claim("", known.limit, False, known.basis, 0, lasts)
                ledger.apply_claim(claim, now)
                self._ledgers[endpoint] = ledger

    def list_limits(self) -> list[ReportedLimit]:
        """Return the limits of endpoints in the zones that are owned here.

        Recently ended ones are included, without a limit.
        """
        now = self._kernel.clock.now()
        for endpoint, ledger in list(self._ledgers.items()):
            ledger.expire(now)
            is_gone = self._follower.directory.get(endpoint) is None
            if is_gone or ledger.is_expired(now):
                del self._ledgers[endpoint]
        return [
            ReportedLimit(
                endpoint,
                ledger.limit,
                *ledger.basis,
                round(now - ledger.announced_at, 3),
            )
            for endpoint, ledger in self._ledgers.items()
        ]


def _make_grant(
    message: SendAsk, limit: float | None, basis: Basis, age: float
) -> SendGrant:
    return SendGrant(
        message.address,
        message.endpoint,
        message.number,
        message.patience,
        limit,
        list(basis),
        round(age, 3),
        False,
        0.0,
    )


def _read_limit(message: SendGrant) -> ReportedLimit | None:
    if message.limit is None:
        return None
    return ReportedLimit(message.endpoint, message.limit, *message.basis, message.age)
