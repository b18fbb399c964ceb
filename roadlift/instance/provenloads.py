"""Remember which adapters engines have loaded whole lately.

Load pattern: engines crash one after the other and come back empty, so that
loads of many sound adapters are in flight at nearly every crash. Weights that
crash the engines which load them are never held by any, therefore a load is a
suspect only while no engine has held the same version.
"""

from collections import OrderedDict
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.instance.knowledge import Knowledge
from roadlift.serving.calls import Model
from roadlift.serving.updatelog import Change

# Seconds for which a completed load speaks for an adapter: engines of other
# hardware may yet crash under the same weights.
PROOF_TTL = 60.0
MAX_PROOFS = 2048  # Adapters that are remembered.


class _Proof(NamedTuple):
    """A version of an adapter that an engine held at a time."""

    version: int
    at: float


@components.register("provenloads")
class ProvenLoads:
    """The adapters that engines of any zone have loaded lately."""

    name = "provenloads"
    needs = ("knowledge",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._proofs: OrderedDict[Model, _Proof] = OrderedDict()
        kernel.get(Knowledge).on_changes.append(self._record_changes)

    def start(self) -> None:
        """Do nothing: loads are recorded as they complete."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    def is_proven(self, model: Model, min_version: int) -> bool:
        """Return whether an engine has loaded an adapter lately."""
        proof = self._proofs.get(model)
        if proof is None or proof.version < min_version:
            return False
        return self._clock.now() - proof.at < PROOF_TTL

    def _record_changes(self, changes: list[Change]) -> None:
        now = self._clock.now()
        for change in changes:
            if change.base and change.version >= 0:
                self._record(Model(change.base, change.adapter), change.version, now)

    def _record(self, model: Model, version: int, now: float) -> None:
        known = self._proofs.get(model)
        newest = max(version, known.version) if known else version
        self._proofs[model] = _Proof(newest, now)
        self._proofs.move_to_end(model)
        if len(self._proofs) > MAX_PROOFS:
            self._proofs.popitem(last=False)
