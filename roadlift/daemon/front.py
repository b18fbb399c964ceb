"""Serve callers by HTTP: the sockets in front of the gateway."""

from roadlift.core.kernel import Kernel, components
from roadlift.daemon.gateway import Gateway
from roadlift.daemon.leaving import Leaving
from roadlift.daemon.metrics import Metrics
from roadlift.http.holdings import Callers
from roadlift.http.messages import HttpLimits
from roadlift.http.server import Server
from roadlift.relay.address import Address


@components.register("front")
class Front:
    """The HTTP server of this process."""

    name = "front"
    needs = (Callers.name, "gateway", "leaving", Metrics.name)

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        limits = HttpLimits(
            settings.most_header,
            settings.most_body,
            settings.header_timeout,
            settings.idle_timeout,
        )
        address = Address.parse(settings.http)
        callers = kernel.get(Callers)
        metrics = kernel.get(Metrics)
        callers.on_yield = lambda reason: metrics.count("yielded")
        self._server = Server(
            kernel.loop, address, kernel.get(Gateway), limits, callers
        )
        kernel.get(Leaving).attach(self._server)

    def start(self) -> None:
        """Bind the server and accept."""
        self._server.start()

    def leave(self) -> None:
        """Begin to leave."""
        self._kernel.get(Leaving).leave()

    def close(self) -> None:
        """Close the server's sockets."""
        self._server.close()
