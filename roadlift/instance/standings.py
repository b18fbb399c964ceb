"""Know what endpoints say of themselves in the heads of their answers.

An endpoint that leaves is so for all: the directory keeps it, and aggregators
relay it with the list. A rest is wanted from this instance alone.
"""

import random
from collections.abc import Mapping, Sequence

from roadlift.core.errors import RoadliftError
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.daemon.transport import Transport
from roadlift.decisions.standing import Standing
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.measures import Measures
from roadlift.instance.platform import Platform
from roadlift.instance.subscription import Subscription
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import LeavingNews
from roadlift.serving.statements import Statement

# Names of unknown headers that a process tells of: callers' applications may
# make up any number.
MOST_UNKNOWN = 32
TELL_GAP = 1.0  # Seconds between tellings that an endpoint leaves.
LOG_GAP = 1.0  # Seconds between lines on the rests of one endpoint.

log = PartLog("standings")


@parts.register("standings")
class Standings:
    """The endpoints that leave or want rest, as this process knows them."""

    name = "standings"
    needs = ("follower", "leases", "measures", "platform", "subscription", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._peer = kernel.settings.peer
        self._drain = kernel.settings.endpoint_drain_ms / 1000.0
        self._rng = random.Random(kernel.stamp)
        self._format = kernel.get(Platform).adapter.calls
        self._follower = kernel.get(Follower)
        self._leases = kernel.get(Leases)
        self._subscription = kernel.get(Subscription)
        self._transport = kernel.get(Transport)
        self._measures = kernel.get(Measures)
        self._known: dict[str, Standing] = {}
        self._told_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        self._faulty: set[tuple[str, str]] = set()
        self._unknown: set[str] = set()
        self._follower.on_directory.append(self._take_directory)
        self._transport.subscribe((LeavingNews,), self._take_leaving)

    def start(self) -> None:
        """Do nothing; answers come later."""

    def close(self) -> None:
        """Do nothing."""

    # What is asked.

    def list_awake(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that do not rest from this instance's calls."""
        if not self._known:
            return endpoints
        return [one for one in endpoints if not self.measure_rest(one.id)]

    def measure_rest(self, endpoint: str) -> float:
        """Return the seconds until a call may be tried at an endpoint."""
        known = self._known.get(endpoint)
        return known.measure_rest(self._clock.now()) if known else 0.0

    def wants_rest(self, endpoint: str) -> bool:
        """Tell whether an endpoint's rest goes on."""
        known = self._known.get(endpoint)
        return known is not None and self._clock.now() < known.rest_until

    def is_last_resort(self, endpoint: str) -> bool:
        """Tell whether a leaving endpoint takes calls that no other can."""
        known = self._known.get(endpoint)
        now = self._clock.now()
        return known is not None and known.is_last_resort(self._drain, now)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Tell whether the first byte of a call may be written to it now."""
        found = self._follower.directory.get(endpoint.id)
        known = self._known.get(endpoint.id)
        now = self._clock.now()
        is_open = known is None or known.may_send(self._drain, now)
        is_there = found is not None and not found.is_draining
        if is_open and (is_there or self.is_last_resort(endpoint.id)):
            return True
        self._measures.count("roadlift_held_sends", endpoint.service)
        return False

    # What is sent and answered.

    def note_send(self, endpoint: Endpoint) -> None:
        """Count a call that is sent."""
        known = self._known.get(endpoint.id)
        if known is not None:
            known.note_send(self._clock.now())

    def note_head(
        self,
        endpoint: Endpoint,
        status: int,
        headers: Mapping[str, str],
        age: float | None = None,
    ) -> Statement:
        """Learn from an answer's head; ``age`` is since the call was sent.

        It is in seconds, and None where the answer is not to a call.
        """
        statement = self._format.read_statement(status, headers)
        for fault in statement.faults:
            self._log_fault(endpoint, fault)
        for name in statement.unknown:
            self._note_unknown(endpoint, name)
        if statement.is_leaving:
            self._note_leaving(endpoint, status, age)
        if statement.rest:
            self._note_rest(endpoint, statement.rest, status, age)
        elif age is not None and not statement.is_rejected:
            self._note_taken(endpoint, age)
        return statement

    def _note_taken(self, endpoint: Endpoint, age: float) -> None:
        if endpoint.id in self._known:
            self._known[endpoint.id].note_taken(self._clock.now() - age)

    def _find(self, endpoint: str) -> Standing:
        return self._known.setdefault(endpoint, Standing())

    def _note_leaving(self, endpoint: Endpoint, status: int, age: float | None) -> None:
        now = self._clock.now()
        if self._find(endpoint.id).note_leaving(now):
            log.event(
                "endpoint_leaving",
                endpoint=endpoint.id,
                service=endpoint.service,
                heard="answer",
                status=status,
                age=_round(age),
            )
            self._follower.note_leaving(endpoint.id)
            self._measure(endpoint.service)
        if now - self._told_at.get(endpoint.id, float("-inf")) >= TELL_GAP:
            self._told_at[endpoint.id] = now
            self._tell(LeavingNews(self._peer, endpoint.id, False))

    def _note_rest(
        self, endpoint: Endpoint, seconds: float, status: int, age: float | None
    ) -> None:
        now = self._clock.now()
        standing = self._find(endpoint.id)
        if not standing.note_rest(seconds, self._rng.random(), now):
            return
        kept = standing.rest_until - now
        self._loop.call_later(kept, lambda: self._end_rest(endpoint))
        self._measure(endpoint.service)
        if now - self._logged_at.get(endpoint.id, float("-inf")) < LOG_GAP:
            return
        self._logged_at[endpoint.id] = now
        log.event(
            "endpoint_resting",
            endpoint=endpoint.id,
            service=endpoint.service,
            asked=seconds,
            seconds=round(kept, 3),
            status=status,
            age=_round(age),
        )

    def _end_rest(self, endpoint: Endpoint) -> None:
        """Tell that a rest is over, if it was not asked for again."""
        known = self._known.get(endpoint.id)
        now = self._clock.now()
        if known is None or now < known.rest_until:
            return
        self._measure(endpoint.service)
        if self._logged_at.pop(endpoint.id, None) is not None:
            log.event("endpoint_rested", endpoint=endpoint.id, service=endpoint.service)

    # What instances tell each other.

    def _tell(self, news: LeavingNews) -> None:
        """Tell the aggregator, or other aggregators as one."""
        if not self._leases.list_held():
            if self._subscription.source:
                self._transport.send(self._subscription.source, news)
            return
        owners = {self._leases.find_owner(zone) for zone in self._leases.list_zones()}
        others = owners - {self._peer, None, ""}
        self._transport.send_all(others, news._replace(is_passed_on=True))

    def _take_leaving(self, sender: str, message: LeavingNews) -> None:
        """Mark the endpoint; the list's subscribers hear of that."""
        if self._follower.note_leaving(message.endpoint) and not message.is_passed_on:
            self._tell(message)

    # What is told of it.

    def _measure(self, service: str) -> None:
        """Count the endpoints of a service that leave, and that rest."""
        now = self._clock.now()
        found = [
            self._known[one.id]
            for one in self._follower.directory.list_service(service)
            if one.id in self._known
        ]
        leaving = sum(one.left_at is not None for one in found)
        resting = sum(now < one.rest_until for one in found)
        self._measures.set("roadlift_leaving_endpoints", leaving, service)
        self._measures.set("roadlift_resting_endpoints", resting, service)

    def _log_fault(self, endpoint: Endpoint, fault: RoadliftError) -> None:
        """Tell once for each endpoint and kind what can't be read."""
        key = (endpoint.id, fault.code)
        if key not in self._faulty:
            self._faulty.add(key)
            log.warning("%s says what can't be read: %s.", endpoint.id, fault)

    def _note_unknown(self, endpoint: Endpoint, name: str) -> None:
        """Tell once of a header that nobody decided what to do with."""
        self._measures.count("roadlift_unknown_headers", endpoint.service)
        if name in self._unknown or len(self._unknown) >= MOST_UNKNOWN:
            return
        self._unknown.add(name)
        log.event(
            "header_unknown",
            header=name,
            endpoint=endpoint.id,
            service=endpoint.service,
        )

    def _take_directory(self) -> None:
        """Learn who left, and forget endpoints that are gone.

        An entry may come back that lapsed as the list could not be written,
        so a rest that goes on is kept.
        """
        now = self._clock.now()
        there = set()
        for endpoint in self._follower.directory.list_all():
            there.add(endpoint.id)
            if endpoint.is_leaving:
                self._find(endpoint.id).note_leaving(now)
        self._faulty = {one for one in self._faulty if one[0] in there}
        for endpoint in set(self._known) - there:
            if now >= self._known[endpoint].rest_until:
                del self._known[endpoint]
        for times in (self._told_at, self._logged_at):
            for endpoint in set(times) - there:
                del times[endpoint]


def _round(age: float | None) -> float | None:
    return None if age is None else round(age, 3)
