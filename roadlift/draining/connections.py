"""Drain the connections of callers along with their process.

A process is done only when no connection is left: one may still send a
request that began before, take an answer that is complete for the process, or
hold requests behind such an answer.
"""

from roadlift.core.errors import Draining
from roadlift.draining.drain import Drain, Phase
from roadlift.http.server import Server

# Seconds before the limit until which an upload must be complete to be waited
# for: the time in which a short call is served.
SERVING_TIME = 0.5
# Seconds after which a refused caller may come back: at once, as its next
# connection leads to another instance.
RETRY_DELAY = 0.1


class ConnectionDrain:
    """Drains the connections of a server as its process drains.

    ``is_admitting`` tells whether calls are admitted after the grace. If not,
    the server goes on to accept, for what else it answers, and all requests
    that are not complete are refused at once.
    """

    def __init__(self, drain: Drain, server: Server, is_admitting: bool) -> None:
        self._drain = drain
        self._server = server
        self._is_admitting = is_admitting

    def advance(self, running: int, owned: int) -> Phase:
        """Close or refuse what can be, and return the phase of the process.

        ``running`` are the calls in flight, ``owned`` the owned endpoints.
        """
        phase = self._drain.compute_phase(1, 0)
        if phase < Phase.CLOSED:
            return phase
        self._server.drain(stops_accepting=self._is_admitting)
        self._refuse_uploads()
        self._server.close_idle()
        unfinished = running + len(self._server.connections)
        return self._drain.compute_phase(unfinished, owned)

    def _refuse_uploads(self) -> None:
        """Refuse the uploads that are not complete in time to be served."""
        error = Draining(retry_after=RETRY_DELAY)
        headers = {"Retry-After": f"{RETRY_DELAY:g}"}
        seconds = 0.0
        if self._is_admitting:
            seconds = self._drain.compute_time_left() - SERVING_TIME
        self._server.refuse_uploads(seconds, error, headers)
