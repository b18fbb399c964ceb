"""Lease slots of endpoints that bear few rejections, and use them for calls.

A call is sent to such an endpoint only where this process has a free slot
there. The owner of the endpoint's zone leases the slots, see
``decisions.slots``; it is asked when a call has none, and told when slots are
not used any longer.
"""

import zlib

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel, components
from roadlift.core.loop import Timer
from roadlift.daemon.transport import Transport
from roadlift.decisions.slots import (
    CLAIM_INTERVAL,
    SlotClaim,
    SlotLease,
    compute_unowned_share,
)
from roadlift.instance.brittleness import BrittleEndpoints
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.ownerpath import OwnerPath
from roadlift.instance.slotowner import SlotOwner
from roadlift.instance.slotuse import (
    LEASE_VALIDITY,
    PendingSlot,
    SlotCallbacks,
    SlotUse,
)
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import SlotReply, SlotRequest

REQUEST_TIMEOUT = 0.08  # Seconds until an unanswered claim is sent again.
MAX_ATTEMPTS = 3  # How often a claim is sent.
# Seconds in which calls don't wait for an owner that did not answer.
UNANSWERED_BACKOFF = 0.6
# Seconds for which an unused slot is kept for the next call.
IDLE_TIME = 0.1
USE_RETENTION = 10.0  # Seconds for which the state of an unused endpoint is kept.
SMOOTHING = 0.2  # Weight of the last call in the mean duration of calls.


@components.register("slots")
class EndpointSlots:
    """The slots of brittle endpoints that this process leases."""

    name = "slots"
    needs = (
        BrittleEndpoints.name,
        "follower",
        "knowledge",
        "leases",
        "measures",
        SlotOwner.name,
        "subscription",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._peer = kernel.settings.peer
        self._process = f"{self._peer} {kernel.started_at_ms}"
        self._brittle = kernel.get(BrittleEndpoints)
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._metrics = kernel.get(InstanceMetrics)
        self._uses: dict[str, SlotUse] = {}
        self._timer: Timer | None = None
        owner = kernel.get(SlotOwner)
        self._path = OwnerPath(kernel, owner.handle_request, self._handle_reply)
        owner.on_reply = self._path.reply
        transport = kernel.get(Transport)
        transport.subscribe((SlotRequest,), self._path.handle_request)
        transport.subscribe((SlotReply,), self._path.handle_reply)
        self._follower.on_directory.append(self._remove_gone)

    def start(self) -> None:
        """Start to renew the claims."""
        self._timer = self._loop.call_every(CLAIM_INTERVAL, self._renew)

    def close(self) -> None:
        """Stop renewing the claims, and drop the calls that wait."""
        self._timer.close()
        for use in self._uses.values():
            use.close()
            for pending in use.waiting:
                pending.close()

    # Queries

    def measure_wait(self, endpoint: str) -> float:
        """Return the seconds until a slot may be free."""
        use = self._uses.get(endpoint)
        return max(0.0, use.free_at - self._clock.now()) if use else 0.0

    def is_leased(self, endpoint: Endpoint) -> bool:
        """Return whether calls to an endpoint take a slot."""
        return self._brittle.find_limit(endpoint) is not None

    # Calls

    def ask(
        self, endpoint: Endpoint, max_wait: float, callbacks: SlotCallbacks
    ) -> PendingSlot | None:
        """Request a slot for a call that waits ``max_wait`` seconds at most.

        None means that one of the callbacks was called already.
        """
        if not self.is_leased(endpoint):
            callbacks.on_granted()
            return None
        now = self._clock.now()
        use = self._find_use(endpoint)
        use.used_at = now
        use.drop_closed()
        if not use.waiting and self._has_free(use):
            self._count(use, "granted")
            callbacks.on_granted()
            return None
        if now < use.unanswered_until:
            self._count(use, "unheard")
            callbacks.on_denied(use.unanswered_until - now)
            return None
        pending = PendingSlot(now + max_wait, callbacks)
        pending.timer = self._loop.call_later(
            max_wait, lambda: self._on_expired(use, pending)
        )
        use.waiting.append(pending)
        self._claim(use)
        return pending

    def record_end(self, endpoint: Endpoint, seconds: float, has_run: bool) -> None:
        """Use the slot of a call that has ended after some seconds again."""
        use = self._uses.get(endpoint.id)
        if use is None:
            return
        use.used_at = self._clock.now()
        if has_run:
            change = seconds - use.duration
            use.duration += change * (SMOOTHING if use.duration else 1.0)
        is_rejected = self._brittle.count_rejections(endpoint.id) > use.rejections
        if is_rejected or (use.lease.is_scarce and not self._is_unheard(use)):
            # Whoever waits for longest gets the slot, at any instance.
            self._return_slots(use)
            return
        self._serve(use)
        if use.idle_timer is None and self._has_free(use):
            use.idle_timer = self._loop.call_later(
                IDLE_TIME, lambda: self._return_idle(use)
            )

    def _find_use(self, endpoint: Endpoint) -> SlotUse:
        use = self._uses.get(endpoint.id)
        if use is None:
            running = self._count_running(endpoint.id)
            use = self._uses[endpoint.id] = SlotUse(
                endpoint, running, self._clock.now()
            )
        return use

    def _count_running(self, endpoint: str) -> int:
        return self._knowledge.health.count_running(endpoint)

    def _is_unheard(self, use: SlotUse) -> bool:
        return self._clock.now() < use.unanswered_until

    def _has_free(self, use: SlotUse) -> bool:
        """Return whether this process has a slot that no call uses."""
        if self._is_unheard(use):
            usable = self._compute_share(use.endpoint)
        else:
            is_valid = self._clock.now() < use.expires_at
            usable = use.lease.granted if is_valid else 0
        return self._count_running(use.endpoint.id) < usable

    def _compute_share(self, endpoint: Endpoint) -> int:
        """Return the slots that this process may use without an owner."""
        rank = zlib.crc32(f"{self._process} {endpoint.id}".encode()) / 2**32
        instances = self._knowledge.count_instances()
        return compute_unowned_share(endpoint.slots, instances, rank)

    def _serve(self, use: SlotUse) -> None:
        """Let the calls that wait use the free slots."""
        use.drop_closed()
        while use.waiting and self._has_free(use):
            self._count(use, "granted")
            use.waiting.popleft().grant()

    def _on_expired(self, use: SlotUse, pending: PendingSlot) -> None:
        """Deny a call that has waited for too long."""
        if pending.is_open:
            self._count(use, "denied")
            pending.deny(self.measure_wait(use.endpoint.id))
            use.drop_closed()
            self._claim(use)

    # Claims

    def _claim(self, use: SlotUse) -> None:
        """Report the slots that are held and wanted to the owner."""
        use.attempts = 0
        self._send_claim(use)

    def _send_claim(self, use: SlotUse) -> None:
        endpoint = use.endpoint
        limit = self._brittle.find_limit(endpoint)
        if limit is None:
            self._end(use)
            return
        use.attempts += 1
        if use.timer is None:
            use.timer = self._loop.call_later(
                REQUEST_TIMEOUT, lambda: self._on_timeout(use)
            )
        use.rejections = self._brittle.count_rejections(endpoint.id)
        running = self._count_running(endpoint.id)
        claim = SlotClaim(
            self._process,
            use.lease.serial,
            use.lease.granted,
            running + len(use.waiting),
            use.rejections,
            round(use.duration, 3),
        )
        age = round(self._brittle.measure_age(endpoint), 3)
        self._path.request(
            SlotRequest(
                self._peer, "", endpoint.zone, endpoint.id, limit, age, list(claim)
            )
        )

    def _on_timeout(self, use: SlotUse) -> None:
        """Send the claim again, or go on without an owner."""
        use.timer = None
        if use.attempts < MAX_ATTEMPTS:
            self._send_claim(use)
            return
        now = self._clock.now()
        use.unanswered_until = use.free_at = now + UNANSWERED_BACKOFF
        self._serve(use)
        while use.waiting:
            self._count(use, "unheard")
            use.waiting.popleft().deny(UNANSWERED_BACKOFF)

    def _return_slots(self, use: SlotUse) -> None:
        """Keep only the slots that calls use now."""
        running = self._count_running(use.endpoint.id)
        granted = min(use.lease.granted, running)
        use.lease = use.lease._replace(granted=granted)
        self._claim(use)

    def _return_idle(self, use: SlotUse) -> None:
        use.idle_timer = None
        if self._has_free(use):
            self._return_slots(use)

    def _renew(self) -> None:
        """Claim again what is held, and drop what is unused for long."""
        for endpoint in self._brittle.list_brittle():
            if self._count_running(endpoint.id):
                self._find_use(endpoint)
        now = self._clock.now()
        for use in list(self._uses.values()):
            is_held = use.lease.granted or use.waiting
            if is_held or self._count_running(use.endpoint.id):
                self._claim(use)
            elif now - use.used_at > USE_RETENTION:
                self._end(use)

    def _handle_reply(self, message: SlotReply) -> None:
        use = self._uses.get(message.endpoint)
        if use is None:
            return
        now = self._clock.now()
        self._brittle.record_announcement(
            use.endpoint, message.rejection_limit, message.age
        )
        if not message.lease:
            self._end(use)
            return
        if use.timer is not None:
            use.timer.close()
            use.timer = None
        lease = read_fields(SlotLease, message.lease)
        if lease.serial <= use.lease.serial:
            # Slots may have been returned since that grant.
            lease = lease._replace(serial=use.lease.serial, granted=use.lease.granted)
        use.lease = lease
        use.unanswered_until = float("-inf")
        use.expires_at = now + LEASE_VALIDITY
        use.free_at = now + lease.delay
        self._serve(use)
        self._deny_late(use)

    def _deny_late(self, use: SlotUse) -> None:
        """Deny the calls that no slot is expected for in time."""
        lease, now = use.lease, self._clock.now()
        late = [
            pending
            for number, pending in enumerate(use.waiting)
            if now + lease.delay + lease.interval * number > pending.until
        ]
        for pending in late:
            self._count(use, "denied")
            pending.deny(lease.delay)
        if late:
            use.drop_closed()
            self._claim(use)

    def _end(self, use: SlotUse) -> None:
        """Let all calls go: the endpoint bears any number of rejections."""
        use.close()
        self._uses.pop(use.endpoint.id, None)
        use.drop_closed()
        for pending in list(use.waiting):
            pending.grant()

    def _remove_gone(self) -> None:
        """Drop the state of endpoints that are gone."""
        for name, use in list(self._uses.items()):
            if self._follower.directory.get(name) is None:
                use.close()
                del self._uses[name]
                for pending in list(use.waiting):
                    pending.deny(0.0)

    def _count(self, use: SlotUse, outcome: str) -> None:
        self._metrics.count("roadlift_leased_sends", use.endpoint.service, outcome)
