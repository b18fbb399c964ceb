"""Look endpoints up by what they serve, without reading them all.

A directory is built once for the endpoints section of a bundle, and shared
by all bundles that leave the section as it is: most of 20,000 changes a day
are to adapters, and 10,000 endpoints can't be read for each, or for a call.
"""

from typing import NamedTuple

from roadlift.bundles.content import Bundle
from roadlift.relay.address import Address


class Endpoint(NamedTuple):
    """An endpoint, as a bundle has it."""

    name: str
    address: Address
    zone: str
    kind: str
    service: str
    base: str
    fences: bool
    slots: int
    width: int


class Directory:
    """The endpoints of a bundle, by name, zone and service."""

    def __init__(self, bundle: Bundle) -> None:
        self._by_name: dict[str, Endpoint] = {}
        self._engines: dict[str, list[Endpoint]] = {}
        self._services: dict[str, list[Endpoint]] = {}
        for name in bundle.list_names("endpoints"):
            self._add(name, bundle)

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint, or None."""
        return self._by_name.get(name)

    def list_engines(self, zone: str) -> list[Endpoint]:
        """Return the engines of an availability zone, by name."""
        return self._engines.get(zone, [])

    def list_zones(self) -> list[str]:
        """Return the availability zones that have engines."""
        return sorted(self._engines)

    def list_services(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a plain service, by name."""
        return self._services.get(service, [])

    def _add(self, name: str, bundle: Bundle) -> None:
        entry = dict(bundle.get_endpoint(name))
        address = Address.parse(entry.pop("address"))
        endpoint = Endpoint(name, address, **entry)
        self._by_name[name] = endpoint
        if endpoint.kind == "engine":
            self._engines.setdefault(endpoint.zone, []).append(endpoint)
        else:
            self._services.setdefault(endpoint.service, []).append(endpoint)


class DirectoryCache:
    """The directory of the latest bundle, built anew only where it must."""

    def __init__(self) -> None:
        self._section: object = None
        self._directory: Directory | None = None
        self.builds = 0

    def get(self, bundle: Bundle) -> Directory:
        """Return the directory of a bundle."""
        section = bundle.get_section("endpoints")
        if self._directory is None or section is not self._section:
            self._section = section
            self._directory = Directory(bundle)
            self.builds += 1
        return self._directory
