"""Keep what is known of the endpoints, also while the platform's list lags."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from roadlift.core.codec import read_fields
from roadlift.relay.upstream import Address
from roadlift.serving.messages import ListNews

# Seconds after the list's return in which an entry that is missing may come
# back: the platform restores lapsed entries within about two seconds.
RETURN_GRACE = 2.5
# Endpoints that left, drained or were dropped which are remembered, of each;
# an entry that lapsed, or is an older copy's, may say that one is ready.
MOST_LEFT = 4096


class HeldModel(NamedTuple):
    """A base model that an engine holds, with its version."""

    name: str
    version: int


class Endpoint(NamedTuple):
    """One run of an endpoint, as it describes itself.

    ``id`` is new with each start; ``slots`` is how many calls it works on
    at once; ``remaining`` is the seconds until it is taken away, or None.
    ``key`` is its name in the list, empty where that is the id; one that was
    started again may keep it, and ``started_at`` tells its runs apart, in
    milliseconds, or 0 where it is not told. One that ``is_leaving`` said so
    itself in an answer, and is draining whatever its entry says.
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

    @property
    def name(self) -> str:
        """Return the name that the list and the endpoint itself know."""
        return self.key or self.id

    def holds(self, base: str) -> bool:
        """Tell whether the engine holds a base model."""
        return any(model.name == base for model in self.models)


def encode_endpoint(endpoint: Endpoint) -> list:
    """Return an endpoint as a list for a message."""
    models = [list(model) for model in endpoint.models]
    address = list(endpoint.address)
    return [*endpoint._replace(address=address, models=models)]


def decode_endpoint(fields: list) -> Endpoint:
    """Read what encode_endpoint made."""
    endpoint = read_fields(Endpoint, fields)
    models = tuple(HeldModel(*model) for model in endpoint.models)
    return endpoint._replace(address=Address(*endpoint.address), models=models)


class Directory:
    """The endpoints by id and by service.

    Entries that vanish are gone at once, except around an outage of the
    list: until its return and a grace behind it they are kept.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._ids: dict[str, str] = {}
        self._missing: set[str] = set()
        self._left: dict[str, None] = {}
        self._drained: dict[str, None] = {}
        self._dropped: dict[str, None] = {}
        self._grace_until = 0.0
        self.revision = 0
        self.is_known = False

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return the endpoint with an id, or None."""
        return self._endpoints.get(endpoint_id)

    def list_service(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints of a service, draining ones included."""
        return self._by_service.get(service, {}).values()

    def list_ready(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new calls."""
        return [one for one in self.list_service(service) if not one.is_draining]

    def list_all(self) -> Iterable[Endpoint]:
        """Return every endpoint."""
        return self._endpoints.values()

    def list_kept(self) -> set[str]:
        """Return the entries that have vanished and are kept for a grace."""
        return set(self._missing)

    def record_store_return(self, now: float) -> None:
        """Learn that the list can be read again after an outage."""
        self._grace_until = now + RETURN_GRACE

    def replace(self, endpoints: Mapping[str, Endpoint], now: float) -> None:
        """Take a whole list; what it lacks has vanished."""
        self.is_known = True
        for endpoint in endpoints.values():
            self.put(endpoint)
        for vanished in set(self._endpoints) - set(endpoints):
            self.remove(vanished, now)

    def relay(self, news: ListNews, now: float) -> None:
        """Take what another instance knows.

        What it keeps for a grace is kept here if it is known here, and is not
        put back: this process may have seen that it is gone.
        """
        self.is_known = True
        changed = [decode_endpoint(fields) for fields in news.changed]
        for endpoint in changed:
            self.put(endpoint)
        kept = set(news.kept) & set(self._endpoints)
        if kept:
            self._grace_until = max(self._grace_until, now + RETURN_GRACE)
        for endpoint_id in kept:
            self.remove(endpoint_id, now)
        named = {endpoint.id for endpoint in changed} | kept
        removed = set(self._endpoints) - named if news.is_whole else set(news.gone)
        for endpoint_id in removed & set(self._endpoints):
            self._drop(endpoint_id)

    def record_drain_notice(self, endpoint_id: str) -> bool:
        """Learn that a start of an endpoint leaves, for good.

        Returns whether that is new.
        """
        if endpoint_id in self._left:
            return False
        _remember(self._left, endpoint_id)
        if endpoint_id in self._endpoints:
            is_missing = endpoint_id in self._missing
            self.put(self._endpoints[endpoint_id])
            self._missing |= {endpoint_id} if is_missing else set()
        return True

    def correct(self, endpoint: Endpoint) -> Endpoint:
        """Return an entry with what its endpoint said of itself.

        A start that drains never takes calls again, whatever its entry says.
        """
        if endpoint.id in self._left:
            return endpoint._replace(is_draining=True, is_leaving=True)
        if endpoint.id in self._drained:
            return endpoint._replace(is_draining=True)
        return endpoint

    def was_dropped(self, endpoint_id: str) -> bool:
        """Tell whether the entry of a start was there, and is gone."""
        return endpoint_id in self._dropped

    def put(self, endpoint: Endpoint) -> None:
        """Take an entry that is new or has changed.

        Of one that has started again its earlier run is gone with all that is
        known of it, and an entry of that run which comes late changes nothing.
        """
        earlier = self._endpoints.get(self._ids.get(endpoint.name, ""))
        if earlier is not None and earlier.id != endpoint.id:
            if earlier.started_at > endpoint.started_at:
                return
            self._drop(earlier.id)
        if endpoint.is_leaving:
            _remember(self._left, endpoint.id)
        if endpoint.is_draining:
            _remember(self._drained, endpoint.id)
        endpoint = self.correct(endpoint)
        self._dropped.pop(endpoint.id, None)
        self._ids[endpoint.name] = endpoint.id
        is_back = endpoint.id in self._missing
        self._missing.discard(endpoint.id)
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
        """Drop the entry of a name, or keep it; see remove."""
        if name in self._ids:
            self.remove(self._ids[name], now)

    def reject_name(self, name: str) -> None:
        """Drop the entry of a name at once, as it names no endpoint to use."""
        if name in self._ids:
            self._drop(self._ids[name])

    def remove(self, endpoint_id: str, now: float) -> None:
        """Drop an entry, or keep it for the grace behind an outage."""
        if endpoint_id not in self._endpoints:
            return
        if now < self._grace_until:
            self.revision += endpoint_id not in self._missing
            self._missing.add(endpoint_id)
            return
        self._drop(endpoint_id)

    def expire(self, now: float) -> None:
        """Drop the entries that did not come back within the grace."""
        if self._missing and now >= self._grace_until:
            for endpoint_id in list(self._missing):
                self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        self._missing.discard(endpoint_id)
        _remember(self._dropped, endpoint_id)
        endpoint = self._endpoints.pop(endpoint_id)
        del self._by_service[endpoint.service][endpoint_id]
        del self._ids[endpoint.name]
        self.revision += 1


def _remember(known: dict[str, None], endpoint_id: str) -> None:
    """Add an id to those that are remembered; the oldest makes room."""
    known[endpoint_id] = None
    if len(known) > MOST_LEFT:
        del known[next(iter(known))]
