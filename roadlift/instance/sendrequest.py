"""Build the request with which a call is sent to an endpoint."""

from math import isfinite

from roadlift.core.kernel import Kernel
from roadlift.instance.access import Authorization
from roadlift.instance.enginechoice import EngineChoice
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.platform import Platform
from roadlift.instance.progress import Progress
from roadlift.instance.send import Send
from roadlift.relay.history import ChannelHistory
from roadlift.relay.upstream import Request
from roadlift.serving.calls import Call
from roadlift.serving.directory import Endpoint
from roadlift.serving.interfaces import Guard
from roadlift.serving.routes import Route

# Added to the priority number of a late call, so that engines first read the
# prompts of calls that can still meet their objective.
LATE_PRIORITY_PENALTY = 4


class RequestBuilder:
    """Builds the requests of one call's sends, with what guards its runs."""

    def __init__(
        self,
        kernel: Kernel,
        call: Call,
        route: Route,
        authorization: Authorization,
        progress: Progress,
        deadline: float,
    ) -> None:
        self._call = call
        self._route = route
        self._authorization = authorization
        self._progress = progress
        self._deadline = deadline
        self._history = ChannelHistory()
        self._choice = kernel.get(EngineChoice)
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._format = kernel.get(Platform).adapter.calls

    def close(self) -> None:
        """Drop the body of the call; no request is built any more."""
        self._call = self._call.drop_body()

    def build(self, send: Send, position: str) -> Request:
        """Return the request of a send that continues behind a position."""
        call = self._call
        version = None
        if call.model is not None and call.model.adapter:
            version = self._follower.find_version(call.model) or None
        guard = Guard(
            self._deadline - send.sent_at,
            self._choose_priority(send),
            version,
            position,
            self._authorization.name,
        )
        request = self._format.build_request(call, self._route, send.endpoint, guard)
        # A late repetition of an answer to an earlier send has the same id.
        return request._replace(history=self._history)

    def describe_state_age(self, endpoint: Endpoint) -> dict[str, float]:
        """Return the age in seconds of the state of a chosen engine.

        This is the time since the last liveness signal from the owner of its
        zone was received here; later changes of the engine's load are not
        known yet.
        """
        if self._call.model is None:
            return {}
        owner_inactivity = self._knowledge.compute_inactivity(endpoint.zone)
        return (
            {"sign": round(owner_inactivity, 3)} if isfinite(owner_inactivity) else {}
        )

    def _choose_priority(self, send: Send) -> int:
        """Return the priority of a send; late calls come after others."""
        priority = self._route.priority
        if self._call.model is None or self._progress.writes:
            return priority
        tokens = send.tokens_ahead + self._call.tokens_in
        expected = self._choice.estimate_reading_time(send.endpoint.id, tokens)
        began_at = self._progress.began_at
        is_late = send.sent_at + expected - began_at > self._route.objective
        return priority + LATE_PRIORITY_PENALTY if is_late else priority
