"""Run the daemon of the interface ``routes`` with one rule taken out.

To see that the soak notices. The first argument names the rule; the others are
the daemon's.
"""

import sys
from collections.abc import Callable

from roadlift.crashes.ledger import CrashLedger
from roadlift.daemon import main as daemon
from roadlift.decisions.homes import Regions
from roadlift.draining.connections import ConnectionDrain
from roadlift.draining.drain import Phase
from roadlift.endpoints.events import EventFrames
from roadlift.instance.access import Access
from roadlift.instance.allowances import Allowances
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.exchange import Exchange
from roadlift.instance.follower import Follower
from roadlift.instance.ingress import Ingress
from roadlift.instance.limits import EndpointLimits
from roadlift.relay.history import ChannelHistory
from roadlift.retries.window import WindowBudget
from roadlift.serving.directory import Directory
from roadlift.serving.engine import EngineRecord
from roadlift.serving.eras import StoreEras
from roadlift.serving.lease import Lease
from roadlift.serving.position import StorePosition

_MOST_SENDS = 3


def _send_again() -> None:
    """Send again what may have run."""
    Exchange._find_obstacle = lambda self, error, now: (
        None if self._sends < _MOST_SENDS else "sent too often"
    )


def _deny_runs() -> None:
    """Tell callers that what may have run did not."""
    fail = Exchange._fail

    def say_not_run(self, error) -> None:
        if not self._caller.started:
            error.status = 503
        fail(self, error)

    Exchange._fail = say_not_run


def _keep_lease() -> None:
    """Give orders for as long as nobody says that the lease is gone."""
    Lease.may_order = lambda self, now: self.is_held and self.orders_from <= now


def _leave_at_once() -> None:
    """End at once on SIGTERM."""
    Ingress.leave = lambda self: sys.exit(0)


def _end_cut_streams() -> None:
    """End a stream that was cut as if it were whole."""
    fail = Exchange._fail

    def end_whole(self, error) -> None:
        if self._caller.started:
            self._caller.finish()
            self._end("failed", error)
            return
        fail(self, error)

    Exchange._fail = end_whole


def _use_more_places() -> None:
    """Load more adapters than an engine has places for."""
    start = EngineRecord.__init__

    def widen(self, slots, *rest) -> None:
        start(self, slots + 2, *rest)

    EngineRecord.__init__ = widen


def _ignore_versions() -> None:
    """Use whatever version of an adapter an engine holds."""
    Follower._declare = lambda self, model, version: None


def _ignore_configurations() -> None:
    """Keep the first configuration."""
    apply = Follower._apply

    def keep(self, configuration, position) -> None:
        if self.configuration is None:
            apply(self, configuration, position)

    Follower._apply = keep


def _forget_ends() -> None:
    """Run calls under which engines ended, again and again."""
    CrashLedger.judge = lambda self, identify: None


def _ignore_limits() -> None:
    """Send to endpoints whatever they name as their limits."""
    EndpointLimits.record_answer = lambda self, endpoint, answer: None


def _ignore_age() -> None:
    """Let calls in by keys that may have been revoked long ago."""
    Access.check_age = lambda self: None


def _ignore_allowances() -> None:
    """Let in whatever organisations ask for."""
    Allowances.acquire = lambda self, organisation, amount: 0.0


def _ignore_leaving() -> None:
    """Send to endpoints that said that they leave."""
    Availabilities._record_drain_notice = lambda self, endpoint, status, age: None


def _ignore_rests() -> None:
    """Send to endpoints that asked for rest."""
    Availabilities._record_backoff = lambda self, endpoint, seconds, status, age: None


def _ignore_evacuations() -> None:
    """Send to zones that the operator has taken out of service."""
    Directory.set_evacuated_zones = lambda self, zones: None


def _ignore_cold() -> None:
    """Send to cold endpoints as to others."""
    EndpointLimits._apply_cold = lambda self, endpoint, now: None


def _ignore_homes() -> None:
    """Run calls in any region."""
    Regions.choose_zones = lambda self, *homes: None


def _ignore_eras() -> None:
    """Compare versions of the store, whatever it lost in between."""
    StoreEras.record_era = lambda self, era, source: True
    StoreEras.is_current = lambda self, position: True
    StorePosition.__new__ = lambda kind, era, version: tuple.__new__(kind, (0, version))


def _trust_old_rows() -> None:
    """Take leases by what rows of before the store's return tell."""
    Lease._is_outdated = lambda self, record: False


def _pass_bytes_on() -> None:
    """Pass a stream's bytes on, also parts of events."""
    EventFrames.extract_complete = lambda self, data: data


def _end_without_connections() -> None:
    """End a process as soon as no call runs, whatever connections hold."""
    advance = ConnectionDrain.advance

    def count_calls(self, running: int, owned: int) -> Phase:
        advance(self, running, owned)
        return self._drain.compute_phase(running, owned)

    ConnectionDrain.advance = count_calls


def _share_connections() -> None:
    """Send a call again on a connection that carried it before."""
    ChannelHistory.is_unused = lambda self, channel: True


def _forget_retries() -> None:
    """Give each process its share of the retries, as if it was alone."""
    WindowBudget._compute_allowance = lambda self, now, instances, fraction: (
        fraction * (self._rule.ratio * self._requests + self._rule.slack)
    )


RULES: dict[str, Callable[[], None]] = {
    "run_once": _send_again,
    "true_refusals": _deny_runs,
    "leases_lapse": _keep_lease,
    "drain": _leave_at_once,
    "cut_is_cut": _end_cut_streams,
    "places": _use_more_places,
    "versions": _ignore_versions,
    "configurations": _ignore_configurations,
    "whole_events": _pass_bytes_on,
    "crashes": _forget_ends,
    "limits": _ignore_limits,
    "freshness": _ignore_age,
    "allowances": _ignore_allowances,
    "leaving": _ignore_leaving,
    "rests": _ignore_rests,
    "evacuations": _ignore_evacuations,
    "cold": _ignore_cold,
    "homes": _ignore_homes,
    "eras": _ignore_eras,
    "old_rows": _trust_old_rows,
    "connections": _end_without_connections,
    "answers": _share_connections,
    "retries": _forget_retries,
}


if __name__ == "__main__":
    rule = sys.argv.pop(1)
    if rule not in RULES:
        sys.exit(f"no rule {rule!r}; there are: {', '.join(RULES)}")
    RULES[rule]()
    daemon.main()
