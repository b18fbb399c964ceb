"""Set up a hub with engines, instances and a bundle, for a scenario."""

import json

from roadlift.bundles.roll import propose, roll, sign
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.gateway import Gateway
from roadlift.daemon.members import Members
from roadlift.daemon.owners import Owners
from roadlift.daemon.pins import Pins
from roadlift.http.messages import ReceivedRequest
from roadlift.membership.members import State
from standins.hub import Delivery, Hub
from standins.hubcaller import HubCaller
from tests.support.stores import MemoryStore

MODELS = 20


class Deployment:
    """A hub with what a scenario needs, and shorthands to look into it."""

    def __init__(self, seed: int = 1, delivery: Delivery = Delivery()) -> None:  # noqa: B008
        self.hub = Hub(seed, delivery)
        self.store = MemoryStore(self.hub.platform)
        self.callers: list[HubCaller] = []
        self.extra: dict = {}

    def start(
        self, zones: int, instances: int, engines: int, fences=True, slots=4
    ) -> None:
        """Start as many instances and engines in each zone."""
        for index in range(zones):
            zone = f"zone-{'abcdef'[index]}"
            for number in range(engines):
                name = f"engine-{'abcdef'[index]}{number}"
                self.hub.add_engine(name, zone, slots, fences)
            for number in range(instances):
                self.hub.start(f"entry-{'abcdef'[index]}{number}", zone)
        self.hub.advance(3.0)
        self.roll()
        self.hub.advance(4.0)

    def make_document(self) -> dict:
        """Return the bundle for the hub's engines."""
        adapters = {
            f"m{index}": {"versions": {"1": f"m{index}/1"}, "services": ["s"]}
            for index in range(MODELS)
        }
        endpoints = {}
        for name, address in self.hub.engine_names.items():
            engine = self.hub.engines[address]
            endpoints[name] = {
                "address": address,
                "zone": engine.zone,
                "kind": "engine",
                "fences": engine.state.fences,
                "slots": engine.state.slots,
                "width": 8,
            }
        service = {"organisation": "t", "priority": "interactive"}
        adapters.update(self.extra)
        return {
            "adapters": adapters,
            "services": {"s": service},
            "endpoints": endpoints,
        }

    def roll(self) -> int:
        """Propose, sign and roll the bundle; return its number."""
        digest = propose(self.store, self.make_document(), "ann").digest
        sign(self.store, digest, "ben")
        return roll(self.store, digest).number

    def roll_without(self, endpoint: str) -> int:
        """Roll a bundle that an engine is not in; return its number."""
        del self.hub.engine_names[endpoint]
        return self.roll()

    def get(self, name: str, part: type):
        """Return a part of an instance."""
        return self.hub.kernels[name].get(part)

    def list_numbers(self) -> dict[str, int]:
        """Return the number of the bundle in force, by instance."""
        return {
            name: kernel.get(Bundles).chain.head.number
            for name, kernel in self.hub.kernels.items()
        }

    def list_owners(self, endpoint: str) -> list[str]:
        """Return the running instances that have a book of an endpoint."""
        return [
            name
            for name, kernel in self.hub.kernels.items()
            if any(one.name == endpoint for one in kernel.get(Owners).list_owned())
        ]

    def find_book(self, endpoint: str):
        """Return the only book of an endpoint."""
        (owner,) = self.list_owners(endpoint)
        owned = self.get(owner, Owners).list_owned()
        return next(one.book for one in owned if one.name == endpoint)

    def see(self, viewer: str, name: str) -> str:
        """Return how one instance sees another."""
        member = self.get(viewer, Members).detector.get_member(name)
        return State(member.state).name if member else "UNKNOWN"

    def call(self, name: str, model: str, headers: dict | None = None) -> HubCaller:
        """Send a completion to an instance."""
        caller = HubCaller()
        content = {"model": model, "prompt": f"p{len(self.callers)}", "max_tokens": 4}
        body = json.dumps(content).encode()
        lowered = {key.lower(): value for key, value in (headers or {}).items()}
        request = ReceivedRequest("POST", "/v1/completions", lowered, body)
        self.callers.append(caller)
        self.get(name, Gateway).handle(request, caller)
        return caller

    def settle(self, limit: float = 60.0) -> float:
        """Move the clock until every caller has its final answer."""
        return self.hub.advance_until(
            lambda: all(c.is_whole or c.error for c in self.callers), limit
        )

    def count_pins(self, name: str) -> int:
        """Return the pins that an instance holds."""
        return self.get(name, Pins).table.count_pins()

    def count_evicted_running(self) -> int:
        """Return how often any engine evicted a copy that was running."""
        engines = self.hub.engines.values()
        return sum(engine.state.count("evicted_running") for engine in engines)
