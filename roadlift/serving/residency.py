"""Track which adapters the engines hold, on every instance.

The zones' owners report it, possibly late. An engine refuses a call whose
adapter it does not hold as not run, so outdated entries cost time but break no
guarantee.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from roadlift.serving.calls import Model

# Evicted adapters that are remembered for each engine: about as many as an
# engine keeps in its own memory. If it keeps fewer, some loads that are
# expected to be short come from the weight store.
MAX_RECENT = 64


class Residency:
    """The versions of the adapters at engines, by engine and by adapter."""

    def __init__(self) -> None:
        self._by_endpoint: dict[str, dict[Model, int]] = {}
        self._by_model: dict[Model, dict[str, int]] = {}
        self._recent: dict[str, OrderedDict[Model, int]] = {}

    def find(self, model: Model) -> Mapping[str, int]:
        """Return the version of an adapter by the engines that hold it."""
        return self._by_model.get(model, {})

    def holds(self, endpoint: str, model: Model, least: int) -> bool:
        """Return whether an engine holds an adapter at ``least`` or newer."""
        version = self._by_model.get(model, {}).get(endpoint)
        return version is not None and version >= least

    def was_recently_held(self, endpoint: str, model: Model, least: int) -> bool:
        """Return whether an engine recently held ``least`` or newer."""
        version = self._recent.get(endpoint, {}).get(model)
        return version is not None and version >= least

    def list_held(self, endpoint: str) -> Mapping[Model, int]:
        """Return the adapters of an engine."""
        return self._by_endpoint.get(endpoint, {})

    def put(self, endpoint: str, model: Model, version: int) -> None:
        """Record that an engine holds an adapter."""
        self._by_endpoint.setdefault(endpoint, {})[model] = version
        self._by_model.setdefault(model, {})[endpoint] = version

    def drop(self, endpoint: str, model: Model) -> None:
        """Record that an engine does not hold an adapter."""
        version = self._by_endpoint.get(endpoint, {}).pop(model, None)
        if version is None:
            return
        self._remember(endpoint, model, version)
        versions = self._by_model[model]
        del versions[endpoint]
        if not versions:
            del self._by_model[model]

    def _remember(self, endpoint: str, model: Model, version: int) -> None:
        recent = self._recent.setdefault(endpoint, OrderedDict())
        recent[model] = version
        recent.move_to_end(model)
        if len(recent) > MAX_RECENT:
            recent.popitem(last=False)

    def replace(self, endpoint: str, held: Mapping[Model, int]) -> None:
        """Replace the adapters of an engine."""
        for model in list(self.list_held(endpoint)):
            if model not in held:
                self.drop(endpoint, model)
        for model, version in held.items():
            self.put(endpoint, model, version)

    def forget(self, endpoints: Iterable[str]) -> None:
        """Drop engines that are gone."""
        for endpoint in endpoints:
            self.replace(endpoint, {})
            self._by_endpoint.pop(endpoint, None)
            self._recent.pop(endpoint, None)

    def list_endpoints(self) -> list[str]:
        """Return the known engines."""
        return list(self._by_endpoint)
