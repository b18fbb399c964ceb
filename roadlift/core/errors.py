"""Define the errors of roadlift; each has a type and a stable code.

``Outcome`` says what a caller has to know before it retries: whether the
request did not run, may have run, or ran and failed.
"""

import enum
from typing import ClassVar


class Outcome(enum.StrEnum):
    """Whether a request that ended in an error was run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class RoadliftError(Exception):
    """The base class of all errors.

    ``code`` is stable and documented in docs/ref/errors.md; ``status`` is
    the HTTP status sent to callers; ``retry_after`` is in seconds. After one
    that ``is_final`` the same request can't succeed later, unless a time is
    given.
    """

    code: ClassVar[str] = "internal_error"
    status: ClassVar[int] = 500
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN
    is_final: ClassVar[bool] = False

    def __init__(self, detail: str = "", retry_after: float | None = None) -> None:
        super().__init__(f"{self.code}: {detail}" if detail else self.code)
        self.detail = detail
        self.retry_after = retry_after


class RequestUnknown(RoadliftError):
    """No log line mentions the request."""

    code = "request_unknown"
    status = 404
    outcome = Outcome.NOT_RUN


class UnknownWork(RoadliftError):
    """No call or load of that identity is quarantined."""

    code = "unknown_work"
    status = 404
    outcome = Outcome.NOT_RUN


class ImproperlyConfigured(RoadliftError):
    """A setting is missing or invalid."""

    code = "improperly_configured"
    outcome = Outcome.NOT_RUN


class InvalidRequest(RoadliftError):
    """The caller's request is invalid."""

    code = "invalid_request"
    status = 400
    outcome = Outcome.NOT_RUN


class RequestTooLarge(RoadliftError):
    """The caller's request exceeds the size limit."""

    code = "request_too_large"
    status = 413
    outcome = Outcome.NOT_RUN


class HeaderTooLarge(RoadliftError):
    """The caller's request line and headers exceed the size limit."""

    code = "header_too_large"
    status = 431
    outcome = Outcome.NOT_RUN


class RequestIncomplete(RoadliftError):
    """The caller did not send its whole request in time."""

    code = "request_incomplete"
    status = 408
    outcome = Outcome.NOT_RUN


class MemoryFull(RoadliftError):
    """The instance holds as much for callers as its memory allows."""

    code = "memory_full"
    status = 503
    outcome = Outcome.NOT_RUN


class UnknownModel(RoadliftError):
    """No adapter and version of that name is in the bundle in force."""

    code = "unknown_model"
    status = 404
    outcome = Outcome.NOT_RUN


class UnknownService(RoadliftError):
    """No service of that name is in the bundle in force."""

    code = "unknown_service"
    status = 404
    outcome = Outcome.NOT_RUN


class NoRoute(RoadliftError):
    """No route of the configuration in force matches the host and path."""

    code = "no_route"
    status = 404
    outcome = Outcome.NOT_RUN


class UnknownKey(RoadliftError):
    """No organisation of the configuration in force holds the caller's key."""

    code = "unknown_key"
    status = 401
    outcome = Outcome.NOT_RUN


class StaleConfiguration(RoadliftError):
    """The configuration is too old: keys may have been revoked since."""

    code = "stale_configuration"
    status = 503
    outcome = Outcome.NOT_RUN


class OverAllowance(RoadliftError):
    """The caller's organisation has used up its allowance."""

    code = "over_allowance"
    status = 429
    outcome = Outcome.NOT_RUN


class NoConfiguration(RoadliftError):
    """The instance has not received any configuration yet."""

    code = "no_configuration"
    status = 503
    outcome = Outcome.NOT_RUN


class UnknownPath(RoadliftError):
    """No resource has that path."""

    code = "unknown_path"
    status = 404
    outcome = Outcome.NOT_RUN


class NoBundle(RoadliftError):
    """The instance has not received any bundle yet."""

    code = "no_bundle"
    status = 503
    outcome = Outcome.NOT_RUN


class Overloaded(RoadliftError):
    """A queue or limit is full; the request was refused early."""

    code = "overloaded"
    status = 429
    outcome = Outcome.NOT_RUN


class Draining(RoadliftError):
    """The instance is shutting down and accepts no new work."""

    code = "draining"
    status = 503
    outcome = Outcome.NOT_RUN


class NoEndpoint(RoadliftError):
    """No endpoint became available for the request before its deadline."""

    code = "no_endpoint"
    status = 503
    outcome = Outcome.NOT_RUN


class LimitReached(RoadliftError):
    """All endpoints that could run the call are at their rate limits."""

    code = "limit_reached"
    status = 503
    outcome = Outcome.NOT_RUN


class EndpointsResting(RoadliftError):
    """All endpoints that could run the call requested a back-off."""

    code = "endpoints_resting"
    status = 503
    outcome = Outcome.NOT_RUN


class ZonesEvacuated(RoadliftError):
    """All endpoints that could run the call are in evacuated zones."""

    code = "zones_evacuated"
    status = 503
    outcome = Outcome.NOT_RUN


class HomeUnavailable(RoadliftError):
    """No endpoint in a region where the call may run accepts calls."""

    code = "home_unavailable"
    status = 503
    outcome = Outcome.NOT_RUN


class SoftwareUnavailable(RoadliftError):
    """No endpoint runs the software version that began the stream."""

    code = "software_unavailable"
    status = 503
    outcome = Outcome.NOT_RUN
    is_final = True


class StreamUnknown(RoadliftError):
    """No instance knows which software version began the stream."""

    code = "stream_unknown"
    status = 503
    outcome = Outcome.NOT_RUN
    is_final = True


class RefusedByEndpoint(RoadliftError):
    """The endpoint refused the request before it ran."""

    code = "refused_by_endpoint"
    status = 503
    outcome = Outcome.NOT_RUN


class RefusedByInstance(RoadliftError):
    """The instance that a call was passed on to refused it."""

    code = "refused_by_instance"
    status = 503
    outcome = Outcome.NOT_RUN


class EndpointUnreachable(RoadliftError):
    """No byte of the request reached the endpoint."""

    code = "endpoint_unreachable"
    status = 503
    outcome = Outcome.NOT_RUN


class ConnectionRefused(EndpointUnreachable):
    """The endpoint's host refused the connection: nothing listens there."""


class EndsEndpoints(RoadliftError):
    """The work is quarantined: endpoints crashed while they ran it."""

    code = "ends_endpoints"
    status = 503
    outcome = Outcome.NOT_RUN


class SendingRevoked(RoadliftError):
    """The permission to send was revoked before the first byte was sent."""

    code = "sending_revoked"
    status = 503
    outcome = Outcome.NOT_RUN


class ConnectionLost(RoadliftError):
    """The connection was lost after a byte of the request was written."""

    code = "connection_lost"
    status = 502
    outcome = Outcome.UNKNOWN


class AnswerUnidentified(RoadliftError):
    """A failure without an id came where it may be another request's."""

    code = "answer_unidentified"
    status = 502
    outcome = Outcome.UNKNOWN


class AnswerUnbounded(RoadliftError):
    """An endpoint sends more without an end than an answer can have."""

    code = "answer_unbounded"
    status = 502
    outcome = Outcome.UNKNOWN


class EndpointFailed(RoadliftError):
    """The endpoint ran the request and answered with an error."""

    code = "endpoint_failed"
    status = 502
    outcome = Outcome.FAILED


class InvalidLimit(RoadliftError):
    """An endpoint's limit announcement can't be parsed."""

    code = "invalid_limit"
    status = 502


class InvalidLeaving(RoadliftError):
    """An endpoint's drain notice can't be parsed."""

    code = "invalid_leaving"
    status = 502


class InvalidRest(RoadliftError):
    """The duration of a back-off that an endpoint requests can't be parsed."""

    code = "invalid_rest"
    status = 502


class InvalidRejectionLimit(RoadliftError):
    """The number of rejections that an endpoint bears can't be parsed."""

    code = "invalid_rejection_limit"
    status = 502


class InvalidColdTime(RoadliftError):
    """The time for which an endpoint stays cold can't be parsed."""

    code = "invalid_cold_time"
    status = 502


class StreamCut(RoadliftError):
    """The endpoint ended a stream early and it could not be resumed."""

    code = "stream_cut"
    status = 502
    outcome = Outcome.FAILED


class RequestTimeout(RoadliftError):
    """The endpoint did not answer in time after the request was sent."""

    code = "request_timeout"
    status = 504
    outcome = Outcome.UNKNOWN


class IdempotencyUnavailable(RoadliftError):
    """The table service is unavailable, so the key can't be claimed."""

    code = "idempotency_unavailable"
    status = 503
    outcome = Outcome.NOT_RUN


class IdempotencyInProgress(RoadliftError):
    """Another call has claimed the key and has no answer yet."""

    code = "idempotency_in_progress"
    status = 409
    outcome = Outcome.UNKNOWN


class IdempotencyMismatch(RoadliftError):
    """The key was used before with a different request."""

    code = "idempotency_mismatch"
    status = 422
    outcome = Outcome.NOT_RUN


class InvalidConfiguration(RoadliftError):
    """A configuration of the platform is invalid."""

    code = "invalid_configuration"
    outcome = Outcome.NOT_RUN


class InvalidBundle(RoadliftError):
    """A bundle violates the schema; the detail names file and path."""

    code = "invalid_bundle"
    status = 400
    outcome = Outcome.NOT_RUN


class BundleConflict(RoadliftError):
    """The head has moved since the bundle was proposed."""

    code = "bundle_conflict"
    status = 409
    outcome = Outcome.NOT_RUN


class BundleNotSigned(RoadliftError):
    """A bundle needs the sign-off of a second operator before it rolls."""

    code = "bundle_not_signed"
    status = 409
    outcome = Outcome.NOT_RUN


class PlatformUnavailable(RoadliftError):
    """The platform's table service or object store did not answer."""

    code = "platform_unavailable"
    status = 503
    outcome = Outcome.UNKNOWN


class HistoryGone(RoadliftError):
    """The store no longer has the requested changes."""

    code = "history_gone"
    status = 503
    outcome = Outcome.NOT_RUN


class VersionConflict(RoadliftError):
    """A compare-and-set found a different version of the row."""

    code = "version_conflict"
    status = 412
    outcome = Outcome.NOT_RUN


class MalformedMessage(RoadliftError):
    """A message between instances can't be decoded."""

    code = "malformed_message"
    outcome = Outcome.NOT_RUN


class UnknownMessage(MalformedMessage):
    """A message between instances has a tag unknown to this release."""

    code = "unknown_message"


def list_errors() -> list[type[RoadliftError]]:
    """Return every error type, sorted by code."""
    errors = [RoadliftError, *RoadliftError.__subclasses__()]
    return sorted(errors, key=lambda error: error.code)
