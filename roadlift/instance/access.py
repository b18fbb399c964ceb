"""Tell whose a call is, and whether it may be sent, now and at each send.

A call can wait, and the machine can be suspended in between: what is true
when a call comes may not be when it is sent.
"""

from typing import NamedTuple

from roadlift.core.errors import (
    OverAllowance,
    RoadliftError,
    StaleConfiguration,
    UnknownKey,
)
from roadlift.core.kernel import Kernel, components
from roadlift.instance.allowances import Allowances, UseNow
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.calls import Call
from roadlift.serving.routes import Organisation, Route

# Seconds before a revoked key's time is over from which calls with keys are
# refused: a send that was checked leaves the process within them.
SEND_MARGIN = 0.4
# Seconds after which a caller comes back that is refused as the configuration
# is old: it comes to another instance, which may know a newer one.
OLD_RETURN = 0.3
LEAST_RETURN = 0.05  # Seconds; the least that a caller over its allowance waits.
MOST_NAMED = 64  # Organisations that are told apart in metrics.
OTHERS = "other"  # The label of all further ones.


class Judgement(NamedTuple):
    """What a call is judged by: the age in seconds of what is known, and use.

    ``organisation`` is its name, or None for an unknown key.
    """

    age: float
    organisation: str | None = None
    use: UseNow | None = None


class Pass:
    """The right of one call to be sent.

    ``organisation`` is None where the call is nobody's; ``amount`` is what it
    uses of the allowance each time that it runs.
    """

    def __init__(
        self, access: "Access", organisation: Organisation | None, call: Call
    ) -> None:
        self._access = access
        self._key = call.key
        self._is_paid = organisation is not None
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
        own = self.organisation.priority if self.organisation else None
        is_same = own is None or own == route.priority
        return route if is_same else route._replace(priority=own)

    def judge(self) -> RoadliftError | None:
        """Return why the call may not be sent now, or None."""
        if self.organisation is None:
            return None
        return self._access.judge(self._key, self.organisation)

    def begin(self) -> None:
        """Count a send: the first is paid for when the call comes."""
        if self._is_paid:
            self._is_paid = False
        else:
            self._access.spend(self, 1)

    def give_back(self) -> None:
        """Learn that the last send did not run."""
        self._is_paid = True

    def end(self, outcome: str) -> None:
        """Count the end of the call; what did not run is given back."""
        if self.organisation is None:
            return
        if self._is_paid:
            self._is_paid = False
            self._access.spend(self, -1)
        self._access.count(self.organisation, outcome)


@components.register("access")
class Access:
    """Judges calls by their keys, by what is known, and by allowances."""

    name = "access"
    needs = ("allowances", "follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._allowances = kernel.get(Allowances)
        self._follower = kernel.get(Follower)
        self._measures = kernel.get(InstanceMetrics)
        self._named: set[str] = set()

    def start(self) -> None:
        """Do nothing; calls come later."""

    def close(self) -> None:
        """Do nothing."""

    @property
    def has_keys(self) -> bool:
        """Tell whether the configuration has organisations with keys."""
        return self._follower.keys is not None

    def admit(self, call: Call, route: Route) -> Pass:
        """Return the pass of a call, or raise why it is refused."""
        if self._follower.keys is None:
            return Pass(self, None, call)
        organisation = self._follower.keys.find(call.key)
        if organisation is None and route.is_open:
            return Pass(self, None, call)
        self.check_age()
        if organisation is None:
            raise UnknownKey()
        found = Pass(self, organisation, call)
        wait = self._allowances.take(organisation, found.amount)
        if wait:
            self.count(organisation, OverAllowance.code)
            detail = f"organisation {organisation.name}"
            raise OverAllowance(detail, max(LEAST_RETURN, wait))
        return found

    def check_age(self) -> None:
        """Raise StaleConfiguration where a key may have been revoked since."""
        limit = self._kernel.settings.revoke_ms / 1000.0
        if not limit or self._follower.keys is None:
            return
        age = self._follower.measure_operator_age()
        if age > limit - SEND_MARGIN:
            raise StaleConfiguration(f"known as of {age:.2f} s ago", OLD_RETURN)

    def judge(self, key: str, organisation: Organisation) -> RoadliftError | None:
        """Return why an organisation's call may not be sent now, or None."""
        try:
            self.check_age()
        except StaleConfiguration as error:
            return error
        if self._follower.keys is None:
            return None
        found = self._follower.keys.find(key)
        if found is None or found.name != organisation.name:
            return UnknownKey("revoked meanwhile")
        return None

    def spend(self, one: Pass, times: int) -> None:
        """Count a run of a call, or, below 0, one that was not."""
        if one.organisation is not None:
            self._allowances.spend(one.organisation, times * one.amount)

    def count(self, organisation: Organisation, outcome: str) -> None:
        """Count how a call of an organisation ended."""
        label = organisation.name
        if label not in self._named and len(self._named) >= MOST_NAMED:
            label = OTHERS
        self._named.add(label)
        self._measures.count("roadlift_organisation_calls", label, outcome)

    def describe(self, call: Call | None) -> Judgement | None:
        """Return what a call is judged by, where callers have keys."""
        if call is None or self._follower.keys is None:
            return None
        age = self._follower.measure_operator_age()
        organisation = self._follower.keys.find(call.key)
        if organisation is None:
            return Judgement(age)
        use = self._allowances.describe(organisation)
        return Judgement(age, organisation.name, use)
