"""Leave on SIGTERM without cutting off a request."""

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.gateway import Gateway
from roadlift.daemon.members import Members
from roadlift.daemon.owners import Owners
from roadlift.daemon.status import Status
from roadlift.draining.connections import ConnectionDrain
from roadlift.draining.drain import Drain, Phase
from roadlift.http.server import Server

TICK = 0.1  # Seconds.

log = ComponentLog("leaving")


@components.register("leaving")
class Leaving:
    """The way out of this process."""

    name = "leaving"
    needs = ("gateway", "members", "owners", "status")

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._drain = Drain(kernel.clock, settings.grace, settings.drain_limit)
        self._connections: ConnectionDrain | None = None
        self._timer = None

    def start(self) -> None:
        """Wait to be told to leave."""
        self._timer = self._kernel.loop.call_every(TICK, self._tick)

    def close(self) -> None:
        """Stop waiting."""
        self._timer.close()

    def attach(self, server: Server) -> None:
        """Drain the connections of a server along with the process."""
        self._connections = ConnectionDrain(self._drain, server, is_admitting=False)

    def leave(self) -> None:
        """Begin to leave; a second time does nothing."""
        if self._drain.is_draining:
            return
        log.info("The instance is leaving.")
        self._drain.start()
        self._kernel.get(Status).is_ready = False
        self._kernel.get(Members).leave()

    def _tick(self) -> None:
        gateway = self._kernel.get(Gateway)
        owned = len(self._kernel.get(Owners).list_owned())
        phase = self._advance(gateway.running, owned)
        gateway.is_closed = phase >= Phase.CLOSED
        if phase is Phase.ENDED:
            log.info("The instance is gone with %d requests cut.", gateway.running)
            self._timer.close()
            self._kernel.get(Members).go()
            self._kernel.loop.call_later(TICK, self._kernel.stop)

    def _advance(self, running: int, owned: int) -> Phase:
        """Return the phase; a process without a server has no connections."""
        if self._connections is None:
            return self._drain.compute_phase(running, owned)
        return self._connections.advance(running, owned)
