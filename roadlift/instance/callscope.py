"""Keep which endpoints one call may use."""

from roadlift.decisions.homes import Scope


class CallScope:
    """The endpoints that one call may use now.

    Once the caller has an event of a stream, the rest of it may come from
    endpoints of the same software version only.
    """

    def __init__(self, scope: Scope) -> None:
        self.current = scope

    @property
    def is_bound(self) -> bool:
        """Return whether a stream has begun."""
        return self.current.software is not None

    def bind(self, software: str | None) -> None:
        """Let one version alone continue; None if it is not known."""
        versions = frozenset() if software is None else frozenset({software})
        self.current = self.current._replace(software=versions)
