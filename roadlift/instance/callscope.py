"""Keep which endpoints one call may use, and what began its stream."""

from roadlift.decisions.homes import Scope
from roadlift.decisions.origins import Origin
from roadlift.instance.origins import OriginRegistry
from roadlift.serving.calls import Call, Kind
from roadlift.serving.routes import Route


class CallScope:
    """The endpoints that one call may use now.

    Once the caller has an event of a stream, the rest of it may come from
    endpoints of the same software version only. With ``origin`` an earlier
    call has brought the first event.
    """

    def __init__(
        self,
        scope: Scope,
        call: Call,
        route: Route,
        origins: OriginRegistry,
        origin: Origin | None,
    ) -> None:
        self._scope = scope
        self._call = call
        self._route = route
        self._origins = origins
        if origin is not None:
            self._bind(origin.software)

    @property
    def is_bound(self) -> bool:
        """Return whether a stream has begun."""
        return self._scope.software is not None

    @property
    def current(self) -> Scope:
        """Return the endpoints that the call may use now.

        A stream that may be resumed begins on a version that is declared.
        """
        is_stream = self._route.kind is Kind.STREAM and self._route.is_resumable
        if self.is_bound or not is_stream:
            return self._scope
        admitted = self._origins.list_admitted(self._scope.service)
        return self._scope._replace(software=admitted)

    def begin_stream(self, software: str | None) -> None:
        """Record the version that brings the call's first event.

        Nothing may continue a stream whose version is not known (None).
        """
        self._bind(software)
        if software is not None and self._route.is_resumable:
            origin = Origin(self._scope.service, software)
            self._origins.record(self._call.resumes or self._call.id, origin)

    def _bind(self, software: str | None) -> None:
        versions = frozenset() if software is None else frozenset({software})
        self._scope = self._scope._replace(software=versions)
