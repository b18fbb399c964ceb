"""Authorize calls by their keys, on arrival and before each send.

A call can wait, and the machine can be suspended in the meantime: a key that
is valid when the call arrives may be revoked when it is sent.
"""

from typing import NamedTuple

from roadlift.core.errors import (
    OverAllowance,
    RoadliftError,
    StaleConfiguration,
    UnknownKey,
)
from roadlift.core.kernel import Kernel, components
from roadlift.decisions.homes import Regions, Scope
from roadlift.instance.allowances import Allowances, CurrentUse
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.calls import Call
from roadlift.serving.routes import Organisation, Route

# Seconds before a revoked key must not be served any longer from which calls
# with keys are refused; a send that was checked leaves the process within
# them.
SEND_MARGIN = 0.4
# Seconds after which a caller may retry that is refused because the
# configuration is old; it reaches another instance, which may have a newer
# one.
STALE_RETRY_DELAY = 0.3
MIN_RETRY_DELAY = 0.05  # Minimum seconds that a caller over its allowance waits.
MAX_LABELS = 64  # Organisations with a label of their own in metrics.
OTHER_LABEL = "other"  # The label of all other organisations.


class AccessState(NamedTuple):
    """The state by which a call is authorized.

    ``age`` is the seconds since the configuration was last confirmed;
    ``organisation`` is the name, or None for an unknown key; ``use`` is the
    organisation's use of its allowance.
    """

    age: float
    organisation: str | None = None
    use: CurrentUse | None = None


class Authorization:
    """The authorization of one call to be sent.

    ``organisation`` is None if the call belongs to none; ``amount`` is what
    each run consumes of the allowance.
    """

    def __init__(
        self, access: "Access", organisation: Organisation | None, call: Call
    ) -> None:
        self._access = access
        self._key = call.key
        self._is_prepaid = organisation is not None
        self.organisation = organisation
        self.amount = 0.0
        if organisation is not None and organisation.allowance is not None:
            self.amount = organisation.allowance.measure(
                call.tokens_in + call.tokens_out
            )

    @property
    def name(self) -> str | None:
        """Return the organisation's name for endpoints; see Guard."""
        if self.organisation is not None:
            return self.organisation.name
        return "" if self._access.has_keys else None

    def apply_priority(self, route: Route) -> Route:
        """Return the route with the organisation's priority, if it has one."""
        priority = self.organisation.priority if self.organisation else None
        is_same = priority is None or priority == route.priority
        return route if is_same else route._replace(priority=priority)

    def choose_scope(self, service: str, route: Route) -> Scope:
        """Return the endpoints of a service that the call may use.

        The homes of the route and those of the organisation both bind.
        """
        homes = self.organisation.homes if self.organisation else None
        return self._access.choose_scope(service, route.homes, homes)

    def check(self) -> RoadliftError | None:
        """Return why the call may not be sent now, or None."""
        if self.organisation is None:
            return None
        return self._access.check(self._key, self.organisation)

    def begin(self) -> None:
        """Count a send; the first one was charged when the call arrived."""
        if self._is_prepaid:
            self._is_prepaid = False
        else:
            self._access.charge(self, 1)

    def refund(self) -> None:
        """Record that the last send did not run; the next is not charged."""
        self._is_prepaid = True

    def end(self, outcome: str) -> None:
        """Record the end of the call, and refund an unused charge."""
        if self.organisation is None:
            return
        if self._is_prepaid:
            self._is_prepaid = False
            self._access.charge(self, -1)
        self._access.count(self.organisation, outcome)


@components.register("access")
class Access:
    """Authorizes calls by keys, the configuration's age and allowances."""

    name = "access"
    needs = ("allowances", "follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._allowances = kernel.get(Allowances)
        self._follower = kernel.get(Follower)
        self._measures = kernel.get(InstanceMetrics)
        self._regions = Regions.parse(kernel.settings.regions)
        self._labelled: set[str] = set()

    def start(self) -> None:
        """Nothing to start; the work is done for each call."""

    def close(self) -> None:
        """Nothing to close."""

    @property
    def has_keys(self) -> bool:
        """Return whether the configuration has organisations with keys."""
        return self._follower.keys is not None

    def admit(self, call: Call, route: Route) -> Authorization:
        """Return the authorization of a call, or raise why it is refused."""
        if self._follower.keys is None:
            return Authorization(self, None, call)
        organisation = self._follower.keys.find(call.key)
        if organisation is None and route.is_open:
            return Authorization(self, None, call)
        self.check_age()
        if organisation is None:
            raise UnknownKey()
        authorization = Authorization(self, organisation, call)
        wait = self._allowances.acquire(organisation, authorization.amount)
        if wait:
            self.count(organisation, OverAllowance.code)
            detail = f"organisation {organisation.name}"
            raise OverAllowance(detail, max(MIN_RETRY_DELAY, wait))
        return authorization

    def choose_scope(self, service: str, *homes: frozenset[str] | None) -> Scope:
        """Return the endpoints of a service in all of some home regions."""
        return Scope(service, self._regions.choose_zones(*homes))

    def check_age(self) -> None:
        """Raise StaleConfiguration if a key may have been revoked since."""
        limit = self._kernel.settings.revoke_ms / 1000.0
        if not limit or self._follower.keys is None:
            return
        age = self._follower.compute_operator_age()
        if age > limit - SEND_MARGIN:
            raise StaleConfiguration(
                f"configuration last confirmed {age:.2f} s ago", STALE_RETRY_DELAY
            )

    def check(self, key: str, organisation: Organisation) -> RoadliftError | None:
        """Return why an organisation's call may not be sent now, or None."""
        try:
            self.check_age()
        except StaleConfiguration as error:
            return error
        if self._follower.keys is None:
            return None
        found = self._follower.keys.find(key)
        if found is None or found.name != organisation.name:
            return UnknownKey("revoked after the call arrived")
        return None

    def charge(self, authorization: Authorization, times: int) -> None:
        """Charge runs of a call; a negative number of runs is a refund."""
        if authorization.organisation is not None:
            self._allowances.charge(
                authorization.organisation, times * authorization.amount
            )

    def count(self, organisation: Organisation, outcome: str) -> None:
        """Count how a call of an organisation ended."""
        label = organisation.name
        if label not in self._labelled and len(self._labelled) >= MAX_LABELS:
            label = OTHER_LABEL
        self._labelled.add(label)
        self._measures.count("roadlift_organisation_calls", label, outcome)

    def describe(self, call: Call | None) -> AccessState | None:
        """Return the state by which a call is authorized, if keys are used."""
        if call is None or self._follower.keys is None:
            return None
        age = self._follower.compute_operator_age()
        organisation = self._follower.keys.find(call.key)
        if organisation is None:
            return AccessState(age)
        use = self._allowances.describe(organisation)
        return AccessState(age, organisation.name, use)
