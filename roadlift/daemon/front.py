"""Serve callers by HTTP: the sockets in front of the gateway."""

from circuits import BaseComponent, handler
from circuits.web.servers import BaseServer

from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.daemon.gateway import Gateway, Received
from roadlift.relay.caller import CallerStream

READ_SIZE = 65536  # Bytes read from a caller at once.

log = PartLog("front")


class Server(BaseServer):
    """The web server of circuits, which leaves signals to the drain."""

    @handler("signal")
    def _on_signal(self, *args) -> None:
        """Leave signals to the drain; circuits would stop at once."""

    @handler("ready")
    def _on_ready(self, server, bind) -> None:
        log.info("Callers are served at %s:%s.", *bind)


class _Requests(BaseComponent):
    """The handler of circuits' request events."""

    channel = "web"

    def __init__(self, front: "Front") -> None:
        super().__init__(channel=self.channel)
        self._front = front

    @handler("request", priority=1.0)
    def _on_request(self, event, request, response) -> bool:
        event.stop()
        self._front.pass_on(request, response)
        # True: the answer does not go through circuits, which would fire an
        # event for each part of it.
        return True


@parts.register("front")
class Front:
    """The HTTP server of this process."""

    name = "front"
    needs = ("gateway",)

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._gateway = kernel.get(Gateway)
        self._server: Server | None = None

    def start(self) -> None:
        """Bind the server and register it with the loop."""
        self._server = Server(self._kernel.settings.http, bufsize=READ_SIZE)
        self._server.register(self._kernel)
        _Requests(self).register(self._server)

    def close(self) -> None:
        """Close the server's sockets."""
        self._server.server.close()

    def pass_on(self, request, response) -> None:
        """Give a request to the gateway, with the stream that answers it."""
        caller = CallerStream(self._kernel.loop, self._server, request, response)
        received = Received(
            request.method, request.path, request.qs, request.headers, request.body
        )
        self._gateway.handle(received, caller)
