"""Replicate which software versions began the streams here.

Each stream is known at three processes: the one that began it, the aggregator
of that one, and the owner of another zone, which a hash chooses. A stream's
version thus outlives the process that began it, a zone that is lost, and an
aggregator that changes: the next one is sent all that is still remembered.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from roadlift.core.kernel import Kernel
from roadlift.core.loop import Timer
from roadlift.daemon.transport import Transport
from roadlift.decisions.origins import rank_zones
from roadlift.instance.leases import Leases
from roadlift.instance.subscription import Subscription
from roadlift.serving.messages import StreamOrigins
from roadlift.serving.originrows import Stream, group_streams

# Seconds from a stream's first event until it is sent. A process that is
# killed meanwhile takes what it knows with it.
REPLICATION_DELAY = 0.05
CHECK_INTERVAL = 0.1  # Seconds between checks for another aggregator or owner.
MAX_BATCH = 1000  # Streams in one message, of 8 bytes each.
MAX_QUEUED = 20_000  # Streams that wait for one instance; the oldest are dropped.


class Target(NamedTuple):
    """A replica, of all streams or of those that a zone keeps."""

    address: str
    zone: str | None


class OriginFeed:
    """The streams that have still to be sent to each replica."""

    def __init__(
        self, kernel: Kernel, list_streams: Callable[[], Iterable[Stream]]
    ) -> None:
        self._loop = kernel.loop
        self._transport = kernel.get(Transport)
        self._leases = kernel.get(Leases)
        self._subscription = kernel.get(Subscription)
        self._peer = kernel.settings.peer
        self._list_streams = list_streams
        self._queues: dict[Target, list[Stream]] = {}
        self._flush_timer: Timer | None = None
        self._check_timer: Timer | None = None

    def start(self) -> None:
        """Begin to look for replicas."""
        self._check_timer = self._loop.call_every(CHECK_INTERVAL, self._check)

    def close(self) -> None:
        """Stop sending."""
        self._check_timer.close()
        if self._flush_timer is not None:
            self._flush_timer.close()

    def put(self, stream: Stream) -> None:
        """Send a stream to its replicas soon."""
        zone = self._find_keeper(stream)
        for target, queue in self._queues.items():
            if target.zone in (None, zone):
                queue.append(stream)
        if self._flush_timer is None:
            self._flush_timer = self._loop.call_later(REPLICATION_DELAY, self._flush)

    def _list_targets(self) -> set[Target]:
        """Return the replicas: the aggregator, or the owners of all zones."""
        if not self._leases.list_held():
            source = self._subscription.source
            return {Target(source, None)} if source else set()
        found = {
            Target(self._leases.find_owner(zone) or "", zone)
            for zone in self._list_other_zones()
        }
        return {target for target in found if target.address not in ("", self._peer)}

    def _list_other_zones(self) -> list[str]:
        held = set(self._leases.list_held())
        return [zone for zone in self._leases.list_zones() if zone not in held]

    def _find_keeper(self, stream: Stream) -> str:
        """Return the other zone that keeps a stream, empty without one."""
        held = set(self._leases.list_held())
        digest, _ = stream
        ranked = rank_zones(digest, self._leases.list_zones())
        return next((zone for zone in ranked if zone not in held), "")

    def _concerns(self, target: Target, stream: Stream) -> bool:
        """Return whether a target keeps a stream."""
        return target.zone in (None, self._find_keeper(stream))

    def _check(self) -> None:
        """Send a new aggregator or owner all that is remembered here."""
        targets = self._list_targets()
        if targets == self._queues.keys():
            self._flush()
            return
        streams = list(self._list_streams()) if targets - self._queues.keys() else []
        self._queues = {
            target: self._queues[target]
            if target in self._queues
            else [
                one for one in streams if target.zone in (None, self._find_keeper(one))
            ]
            for target in targets
        }
        self._flush()

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.close()
            self._flush_timer = None
        for target, queue in self._queues.items():
            if queue and self._send(target, queue[:MAX_BATCH]):
                del queue[:MAX_BATCH]
            del queue[:-MAX_QUEUED]

    def _send(self, target: Target, streams: list[Stream]) -> bool:
        is_passed_on = target.zone is not None
        message = StreamOrigins(self._peer, group_streams(streams), is_passed_on)
        return self._transport.send(target.address, message)
