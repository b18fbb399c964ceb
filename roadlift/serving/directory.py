"""Track the known endpoints, also while the platform's list is outdated."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from roadlift.core.codec import read_fields
from roadlift.relay.address import Address
from roadlift.serving.messages import ListNews

# Seconds after the list is readable again in which a missing entry may
# reappear: the platform restores lapsed entries within about two seconds.
RETURN_GRACE = 2.5
# Endpoints remembered of each kind: with a drain notice, draining, dropped. An
# entry that lapsed, or comes from an older copy of the store, may show such an
# endpoint as ready.
MAX_REMEMBERED = 4096


class HeldModel(NamedTuple):
    """A base model that an engine holds, with its version."""

    name: str
    version: int


class Endpoint(NamedTuple):
    """One run of an endpoint, as it describes itself.

    ``id`` is new with each start; ``slots`` is how many calls it processes
    concurrently; ``remaining`` is the seconds until it is reclaimed, or None.
    ``key`` is its name in the list, empty if that is the id. A restarted
    endpoint may keep its key; ``started_at`` then distinguishes its runs, in
    milliseconds, or 0 if unknown. ``is_draining`` is what the list says. One
    that ``is_leaving`` announced in an answer that it is draining, and
    counts as draining whatever its entry says. ``cold_time`` is the seconds
    that it remains cold, as of its last heartbeat. ``software`` is the version
    of its software, empty if its entry names none, or None if the entry came
    from an instance that passes no such versions on.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool = False
    models: tuple[HeldModel, ...] = ()
    remaining: float | None = None
    key: str = ""
    started_at: int = 0
    is_leaving: bool = False
    cold_time: float = 0.0
    software: str | None = None

    @property
    def name(self) -> str:
        """Return the name that the list and the endpoint itself use."""
        return self.key or self.id

    def holds(self, base: str) -> bool:
        """Return whether the endpoint's engine has a base model loaded."""
        return any(model.name == base for model in self.models)


def encode_endpoint(endpoint: Endpoint) -> list:
    """Return an endpoint as a list for a message."""
    models = [list(model) for model in endpoint.models]
    address = list(endpoint.address)
    return [*endpoint._replace(address=address, models=models)]


def decode_endpoint(fields: list) -> Endpoint:
    """Return the endpoint that ``encode_endpoint`` encoded."""
    endpoint = read_fields(Endpoint, fields)
    models = tuple(HeldModel(*model) for model in endpoint.models)
    return endpoint._replace(address=Address(*endpoint.address), models=models)


class Directory:
    """The endpoints by id and by service.

    Entries that vanish are dropped at once, except around an outage of the
    list: then they are kept until a grace period after the list is readable
    again.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._ids: dict[str, str] = {}
        self._vanished: set[str] = set()
        self._drain_notices: dict[str, None] = {}
        self._drained: dict[str, None] = {}
        self._dropped: dict[str, None] = {}
        self._grace_until = 0.0
        self.evacuated_zones: frozenset[str] = frozenset()
        self.revision = 0
        self.is_known = False

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return the endpoint with an id, or None."""
        return self._endpoints.get(endpoint_id)

    def list_service(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints of a service, draining ones included."""
        return self._by_service.get(service, {}).values()

    def list_ready(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new calls."""
        return [
            endpoint
            for endpoint in self.list_service(service)
            if self._is_ready(endpoint)
        ]

    def is_ready(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is listed and accepts new calls."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint is not None and self._is_ready(endpoint)

    def _is_ready(self, endpoint: Endpoint) -> bool:
        return not endpoint.is_draining and endpoint.zone not in self.evacuated_zones

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the zones whose endpoints accept no calls."""
        self.revision += zones != self.evacuated_zones
        self.evacuated_zones = zones

    def list_all(self) -> Iterable[Endpoint]:
        """Return every endpoint."""
        return self._endpoints.values()

    def list_retained(self) -> set[str]:
        """Return the ids of vanished entries kept for the grace period."""
        return set(self._vanished)

    def record_store_return(self, now: float) -> None:
        """Start the grace period: the list is readable after an outage."""
        self._grace_until = now + RETURN_GRACE

    def replace(self, endpoints: Mapping[str, Endpoint], now: float) -> None:
        """Apply a complete list; entries that are not in it have vanished."""
        self.is_known = True
        for endpoint in endpoints.values():
            self.put(endpoint)
        for vanished in set(self._endpoints) - set(endpoints):
            self.remove(vanished, now)

    def relay(self, update: ListNews, now: float) -> None:
        """Apply an update from another instance.

        Entries that it keeps for a grace period are kept here if they are
        known here. They are not added: this process may have seen them go.
        """
        self.is_known = True
        changed = [decode_endpoint(fields) for fields in update.changed]
        for endpoint in changed:
            self.put(endpoint)
        kept = set(update.kept) & set(self._endpoints)
        if kept:
            self._grace_until = max(self._grace_until, now + RETURN_GRACE)
        for endpoint_id in kept:
            self.remove(endpoint_id, now)
        named = {endpoint.id for endpoint in changed} | kept
        removed = set(self._endpoints) - named if update.is_whole else set(update.gone)
        for endpoint_id in removed & set(self._endpoints):
            self._drop(endpoint_id)

    def record_drain_notice(self, endpoint_id: str) -> bool:
        """Record that one run of an endpoint announced that it is draining.

        This is final for that run. Returns whether it is new.
        """
        if endpoint_id in self._drain_notices:
            return False
        _remember(self._drain_notices, endpoint_id)
        if endpoint_id in self._endpoints:
            was_vanished = endpoint_id in self._vanished
            self.put(self._endpoints[endpoint_id])
            self._vanished |= {endpoint_id} if was_vanished else set()
        return True

    def correct(self, endpoint: Endpoint) -> Endpoint:
        """Return an entry corrected by what its endpoint announced.

        A run that drains never accepts calls again, whatever its entry says.
        """
        if endpoint.id in self._drain_notices:
            return endpoint._replace(is_draining=True, is_leaving=True)
        if endpoint.id in self._drained:
            return endpoint._replace(is_draining=True)
        return endpoint

    def was_dropped(self, endpoint_id: str) -> bool:
        """Return whether the entry of a run was known and was dropped."""
        return endpoint_id in self._dropped

    def put(self, endpoint: Endpoint) -> None:
        """Add or update an entry.

        If the endpoint has restarted, the entry of its earlier run is dropped
        with all its state. A late entry of an earlier run changes nothing.
        """
        known_run = self._endpoints.get(self._ids.get(endpoint.name, ""))
        if known_run is not None and known_run.id != endpoint.id:
            if known_run.started_at > endpoint.started_at:
                return
            self._drop(known_run.id)
        if endpoint.is_leaving:
            _remember(self._drain_notices, endpoint.id)
        if endpoint.is_draining:
            _remember(self._drained, endpoint.id)
        endpoint = self.correct(endpoint)
        self._dropped.pop(endpoint.id, None)
        self._ids[endpoint.name] = endpoint.id
        is_back = endpoint.id in self._vanished
        self._vanished.discard(endpoint.id)
        known = self._endpoints.get(endpoint.id)
        if known == endpoint:
            self.revision += is_back
            return
        if known is not None and known.service != endpoint.service:
            del self._by_service[known.service][known.id]
        self._endpoints[endpoint.id] = endpoint
        self._by_service.setdefault(endpoint.service, {})[endpoint.id] = endpoint
        self.revision += 1

    def remove_name(self, name: str, now: float) -> None:
        """Drop or keep the entry of a name, as ``remove`` does."""
        if name in self._ids:
            self.remove(self._ids[name], now)

    def reject_name(self, name: str) -> None:
        """Drop the entry of a name at once, as it is not usable."""
        if name in self._ids:
            self._drop(self._ids[name])

    def remove(self, endpoint_id: str, now: float) -> None:
        """Drop an entry, or keep it for the grace period after an outage."""
        if endpoint_id not in self._endpoints:
            return
        if now < self._grace_until:
            self.revision += endpoint_id not in self._vanished
            self._vanished.add(endpoint_id)
            return
        self._drop(endpoint_id)

    def expire(self, now: float) -> None:
        """Drop the entries that did not reappear within the grace period."""
        if self._vanished and now >= self._grace_until:
            for endpoint_id in list(self._vanished):
                self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        self._vanished.discard(endpoint_id)
        _remember(self._dropped, endpoint_id)
        endpoint = self._endpoints.pop(endpoint_id)
        del self._by_service[endpoint.service][endpoint_id]
        del self._ids[endpoint.name]
        self.revision += 1


def _remember(known: dict[str, None], endpoint_id: str) -> None:
    """Add an id to a bounded set; the oldest is evicted."""
    known[endpoint_id] = None
    if len(known) > MAX_REMEMBERED:
        del known[next(iter(known))]
