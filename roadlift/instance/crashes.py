"""Notice which calls end the endpoints that run them, and tell others."""

from collections.abc import Callable

from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.crashes.detection import CrashDetector, EndpointCrash
from roadlift.crashes.ledger import CrashLedger
from roadlift.crashes.trials import TrialSlots
from roadlift.decisions.crashes import CrashEvidence
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.crashnews import CrashTelling
from roadlift.instance.crashrows import CrashRows
from roadlift.instance.follower import Follower
from roadlift.instance.measures import Measures
from roadlift.serving.directory import Endpoint

log = PartLog("crashes")


@parts.register("crashes")
class CrashWatch:
    """The ends of endpoints that this process sees by its own calls."""

    name = "crashes"
    needs = (
        Aggregator.name,
        CrashLedger.name,
        "follower",
        "leases",
        "measures",
        "subscription",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._follower = kernel.get(Follower)
        self._measures = kernel.get(Measures)
        self._ledger = kernel.get(CrashLedger)
        self._telling = CrashTelling(kernel)
        self._rows = CrashRows(kernel)
        self._turns = TrialSlots(kernel.loop)
        self._ends = CrashDetector(kernel, self._note_end)
        self._ledger.on_change.append(self._note_change)

    def start(self) -> None:
        """Begin to tell and to hear."""
        self._telling.start()
        self._rows.start()

    def close(self) -> None:
        """Tell no more."""
        self._rows.close()
        self._telling.close()

    def await_turn(
        self, identify: Callable[[], bytes], on_turn: Callable[[], None]
    ) -> bool:
        """Tell whether a call has to wait; ``on_turn`` is called then."""
        if not self._ledger.is_suspect(identify):
            return False
        return self._turns.wait(identify(), on_turn)

    def begin(self, identify: Callable[[], bytes]) -> bool:
        """Give a call that is sent its turn, if it is under suspicion."""
        if not self._ledger.is_suspect(identify):
            return False
        self._turns.begin(identify())
        return True

    def end(self, identity: bytes) -> None:
        """End the turn of a call for which ``begin`` was true."""
        self._turns.end(identity)

    def record_cut(self, endpoint: Endpoint, identity: bytes, is_strong: bool) -> None:
        """Learn that an endpoint closed the connection of a call it had."""
        self._ends.record_cut(endpoint.id, endpoint.address, identity, is_strong)

    def _note_end(self, end: EndpointCrash) -> None:
        known = self._follower.directory.get(end.endpoint)
        if known is None or known.is_draining:
            return
        suspects = [[name.hex(), weight] for name, weight in end.suspects.items()]
        log.event(
            "endpoint_ended", endpoint=end.endpoint, cut=end.cut, suspects=suspects
        )
        self._measures.count("roadlift_endpoint_ends", known.service)
        self._ledger.record_evidence(
            [
                CrashEvidence(identity, end.endpoint, weight, 0.0)
                for identity, weight in end.suspects.items()
            ]
        )

    def _note_change(self, identity: bytes) -> None:
        barred = self._ledger.crashes.count_refused()
        self._measures.set("roadlift_barred_work", barred)
