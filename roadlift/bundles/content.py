"""Define what a bundle holds and how it is read, checked and compared.

The JSON schema stands in docs/ref/bundle.md. A whole bundle is what an
operator edits; a change between two bundles is what the store keeps and the
instances pass on, since 20,000 changes a day to a 5 MB bundle must cost
hundreds of bytes each.
"""

import json
from collections.abc import Iterator
from typing import Any, NamedTuple, TypedDict

import msgpack

from roadlift.core.errors import InvalidBundle
from roadlift.relay.address import Address

SECTIONS = ("adapters", "services", "endpoints")
CLASSES = ("interactive", "standard", "batch")
KINDS = ("engine", "service")


class AdapterEntry(TypedDict):
    """One adapter: its weight paths by version, services and base model."""

    versions: dict[str, str]
    services: list[str]
    base: str


class ServiceEntry(TypedDict):
    """One service of an organisation, with its priority class and contract.

    ``first_token`` is in seconds; ``share`` is the part of requests that has
    to meet it; ``most_queued`` bounds the requests that wait at an instance.
    """

    organisation: str
    priority: str
    first_token: float
    share: float
    most_queued: int


class EndpointEntry(TypedDict):
    """One endpoint: an engine or a plain service.

    ``service`` names the service that a plain service answers for; ``base``
    is the base model of an engine, whose adapters it can load;
    ``fences`` tells that the engine refuses orders with an old fencing
    number; ``slots`` is how many adapters it holds; ``width`` how many
    requests it batches.
    """

    address: str
    zone: str
    kind: str
    service: str
    base: str
    fences: bool
    slots: int
    width: int


class Model(NamedTuple):
    """An adapter at a version, as requests name it."""

    adapter: str
    version: str

    @classmethod
    def parse(cls, name: str) -> "Model":
        """Read ``adapter@version``; raise ValueError where it is not one."""
        adapter, mark, version = name.partition("@")
        if not (adapter and mark and version):
            raise ValueError(f"{name!r} does not name adapter@version")
        return cls(adapter, version)

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


class Change(NamedTuple):
    """What differs between a bundle and its parent.

    ``put`` and ``drop`` hold, by section, entries to set and names to drop.
    """

    parent: str
    put: dict[str, dict[str, Any]]
    drop: dict[str, list[str]]

    def encode(self) -> bytes:
        """Return the canonical bytes, whose digest names the bundle."""
        ordered = {
            section: dict(sorted(self.put[section].items())) for section in SECTIONS
        }
        dropped = {section: sorted(self.drop[section]) for section in SECTIONS}
        return msgpack.packb([self.parent, ordered, dropped])

    @classmethod
    def decode(cls, data: bytes) -> "Change":
        """Read the bytes of ``encode``; raise InvalidBundle otherwise."""
        try:
            return cls(*msgpack.unpackb(data))
        except Exception as error:
            raise InvalidBundle(f"change can't be decoded: {error}") from error

    def is_empty(self) -> bool:
        """Return whether nothing differs."""
        return not any(self.put.values()) and not any(self.drop.values())


class Bundle:
    """The whole configuration in memory.

    Entries are kept packed, at about 100 bytes an adapter, and are unpacked
    on each look-up, so that 53,000 adapters fit the memory for control.
    """

    def __init__(self) -> None:
        self._sections: dict[str, dict[str, bytes]] = {name: {} for name in SECTIONS}

    @classmethod
    def from_document(cls, document: dict[str, dict[str, Any]]) -> "Bundle":
        """Build a bundle from a checked document."""
        bundle = cls()
        for section in SECTIONS:
            for name, entry in document.get(section, {}).items():
                bundle._sections[section][name] = _pack(entry)
        return bundle

    def to_document(self) -> dict[str, dict[str, Any]]:
        """Return the document that an operator edits."""
        return {
            section: {
                name: msgpack.unpackb(data) for name, data in sorted(entries.items())
            }
            for section, entries in self._sections.items()
        }

    def get_adapter(self, name: str) -> AdapterEntry | None:
        """Return an adapter's entry, or None."""
        return self._get("adapters", name)

    def get_service(self, name: str) -> ServiceEntry | None:
        """Return a service's entry, or None."""
        return self._get("services", name)

    def get_endpoint(self, name: str) -> EndpointEntry | None:
        """Return an endpoint's entry, or None."""
        return self._get("endpoints", name)

    def get_section(self, section: str) -> object:
        """Return a section, to see whether two bundles share it."""
        return self._sections[section]

    def list_names(self, section: str) -> list[str]:
        """Return the names of a section, sorted."""
        return sorted(self._sections[section])

    def iterate_models(self) -> Iterator[Model]:
        """Yield every adapter at every version."""
        for name in self.list_names("adapters"):
            for version in self.get_adapter(name)["versions"]:
                yield Model(name, version)

    def find_path(self, model: Model) -> str | None:
        """Return where the weights of ``model`` are, or None."""
        entry = self.get_adapter(model.adapter)
        return entry["versions"].get(model.version) if entry else None

    def apply(self, change: Change) -> "Bundle":
        """Return the bundle after ``change``; this one stays as it is."""
        after = Bundle()
        for section in SECTIONS:
            if not change.put[section] and not change.drop[section]:
                # Sections without a change are shared, never modified.
                after._sections[section] = self._sections[section]
                continue
            entries = dict(self._sections[section])
            for name in change.drop[section]:
                entries.pop(name, None)
            for name, entry in change.put[section].items():
                entries[name] = _pack(entry)
            after._sections[section] = entries
        return after

    def compare(self, after: "Bundle", parent: str) -> Change:
        """Return the change that leads from this bundle to ``after``."""
        put: dict[str, dict[str, Any]] = {}
        drop: dict[str, list[str]] = {}
        for section in SECTIONS:
            old, new = self._sections[section], after._sections[section]
            put[section] = {
                name: msgpack.unpackb(data)
                for name, data in new.items()
                if old.get(name) != data
            }
            drop[section] = [name for name in old if name not in new]
        return Change(parent, put, drop)

    def _get(self, section: str, name: str) -> Any:
        data = self._sections[section].get(name)
        return None if data is None else msgpack.unpackb(data)


def _pack(entry: dict[str, Any]) -> bytes:
    return msgpack.packb(dict(sorted(entry.items())))


class _Field(NamedTuple):
    name: str
    kind: type | tuple[type, ...]
    default: Any = None
    choices: tuple[str, ...] = ()


_FIELDS = {
    "adapters": (
        _Field("versions", dict),
        _Field("services", list),
        _Field("base", str, ""),
    ),
    "services": (
        _Field("organisation", str),
        _Field("priority", str, choices=CLASSES),
        _Field("first_token", (int, float), 0.68),
        _Field("share", (int, float), 0.95),
        _Field("most_queued", int, 256),
    ),
    "endpoints": (
        _Field("address", str),
        _Field("zone", str),
        _Field("kind", str, choices=KINDS),
        _Field("service", str, ""),
        _Field("base", str, ""),
        _Field("fences", bool, False),
        _Field("slots", int, 4),
        _Field("width", int, 8),
    ),
}


def read_document(text: str, source: str) -> dict[str, dict[str, Any]]:
    """Read and check a bundle's JSON; ``source`` names it in errors."""
    try:
        document = json.loads(text)
    except ValueError as error:
        raise InvalidBundle(f"{source}: not JSON: {error}") from error
    check_document(document, source)
    return document


def check_document(document: Any, source: str) -> None:
    """Raise InvalidBundle with each mistake; fill in the defaults."""
    mistakes = list_mistakes(document)
    if mistakes:
        shown = "; ".join(f"{source}: {mistake}" for mistake in mistakes[:20])
        raise InvalidBundle(shown)


def list_mistakes(document: Any) -> list[str]:
    """Return each mistake as ``$.path: what was expected``.

    Defaults of missing optional fields are filled in on the way.
    """
    if not isinstance(document, dict):
        return ["$: an object was expected"]
    mistakes = [
        f"$.{name}: no such section; known are {', '.join(SECTIONS)}"
        for name in document
        if name not in SECTIONS
    ]
    for section in SECTIONS:
        entries = document.setdefault(section, {})
        if not isinstance(entries, dict):
            mistakes.append(f"$.{section}: an object was expected")
            continue
        for name, entry in entries.items():
            mistakes += _list_entry_mistakes(section, f"$.{section}.{name}", entry)
    return mistakes or _list_broken_references(document)


def _list_entry_mistakes(section: str, path: str, entry: Any) -> list[str]:
    if not isinstance(entry, dict):
        return [f"{path}: an object was expected"]
    mistakes = []
    for field in _FIELDS[section]:
        if field.name not in entry and field.default is not None:
            entry[field.name] = field.default
        mistakes += _list_field_mistakes(f"{path}.{field.name}", field, entry)
    known = {field.name for field in _FIELDS[section]}
    mistakes += [f"{path}.{name}: no such field" for name in entry if name not in known]
    return mistakes


def _list_field_mistakes(path: str, field: _Field, entry: dict) -> list[str]:
    if field.name not in entry:
        return [f"{path}: missing"]
    value = entry[field.name]
    if not isinstance(value, field.kind):
        wanted = field.kind if isinstance(field.kind, type) else field.kind[-1]
        return [f"{path}: {wanted.__name__} was expected, not {value!r}"]
    if field.choices and value not in field.choices:
        return [f"{path}: one of {', '.join(field.choices)} was expected"]
    return []


def _list_broken_references(document: dict) -> list[str]:
    mistakes = []
    for name, entry in document["endpoints"].items():
        try:
            Address.parse(entry["address"])
        except (ValueError, OSError):
            mistakes.append(
                f"$.endpoints.{name}.address: an IP number with a port was expected"
            )
    for name, entry in document["adapters"].items():
        for service in entry["services"]:
            if service not in document["services"]:
                mistakes.append(f"$.adapters.{name}.services: no service {service!r}")
        for version, path in entry["versions"].items():
            if not isinstance(path, str):
                mistakes.append(
                    f"$.adapters.{name}.versions.{version}: str was expected"
                )
    return mistakes
