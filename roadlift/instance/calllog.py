"""Log how calls ended; those that were served in time are sampled."""

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.instance.served import ServedAdapters
from roadlift.serving.calls import Model

# One of this many calls that were served in time is logged; of all other
# calls, and of those that resume a stream, each one.
SERVED_LOG_SAMPLE = 20

log = ComponentLog("ingress")


@components.register("call_log")
class CallLog:
    """The log lines of the ends of calls."""

    name = "call_log"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._served_adapters = ServedAdapters(kernel)
        self._served_count = 0

    def start(self) -> None:
        """Start to log the adapters of the calls that were served."""
        self._served_adapters.start()

    def close(self) -> None:
        """Log the rest of them."""
        self._served_adapters.close()

    def log_end(
        self, outcome: str, is_late: bool, model: Model | None, **fields: object
    ) -> None:
        """Log how a call ended, unless it is left out of the sample."""
        if outcome == "served" and model is not None:
            self._served_adapters.record(str(model))
        is_sampled = outcome == "served" and not is_late
        if is_sampled and not fields.get("resumes"):
            self._served_count += 1
            if self._served_count % SERVED_LOG_SAMPLE:
                return
            fields["one_in"] = SERVED_LOG_SAMPLE
        name = str(model) if model else None
        log.event("call_ended", outcome=outcome, model=name, **fields)
