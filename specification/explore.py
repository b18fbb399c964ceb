"""Explore the specifications, with their rules and with each one removed.

Prints the states explored, and for each removed rule the invariant that
broke and after how many steps. Fails where a specification is not explored
to its end, breaks an invariant, or bears the loss of a rule.
"""

import json
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from minicheck import Protocol, check_safety

from roadlift.management.output import print_table
from specification import (
    bundles,
    claims,
    freshness,
    lease,
    limits,
    ownership,
    returns,
)
from specification.ownership import Limits, Ownership

MOST_STATES = 600_000
WORKERS = 4

# Each makes one kind of trouble possible; together they would not end.
OWNERSHIP_LIMITS = {
    "late": Limits(askings=(0, 0, 1), crashes=0),
    "late_owner": Limits(askings=(1, 0, 0), crashes=0),
    "late_taker": Limits(askings=(0, 1, 0), crashes=0),
    "twice": Limits(askings=(0, 0, 2), orders=1, crashes=0),
    "crash": Limits(askings=(0, 0, 1), crashes=1),
    "restart": Limits(askings=(0, 0, 1), orders=1, crashes=0, restarts=1),
    "restart_orders": Limits(askings=(0, 0, 1), epochs=1, orders=3, restarts=1),
    "reports": Limits(epochs=1, askings=(0, 0, 2), orders=2, crashes=0, reports=True),
    "reports_takeover": Limits(askings=(0, 0, 1), orders=1, crashes=0, reports=True),
    "two_takeovers": Limits(epochs=3, askings=(0, 0, 1), orders=1, crashes=0),
}

# Where the loss of each rule shows: (fences, limits).
OWNERSHIP_LOSSES = {
    "evict_unpinned": (True, OWNERSHIP_LIMITS["late"]),
    "evict_proven": (True, OWNERSHIP_LIMITS["late"]),
    "adopt_fenced": (False, OWNERSHIP_LIMITS["late"]),
    "name_once": (True, Limits(epochs=1, askings=(0, 0, 2), crashes=0)),
    "return_idle": (True, OWNERSHIP_LIMITS["late"]),
    "accept_asked": (True, OWNERSHIP_LIMITS["late"]),
    "accept_epoch": (True, OWNERSHIP_LIMITS["late"]),
    "pins_last": (True, OWNERSHIP_LIMITS["late"]),
    "fence_orders": (True, OWNERSHIP_LIMITS["late"]),
    "step_down": (False, OWNERSHIP_LIMITS["late"]),
    "adopt_once": (True, Limits(askings=(0, 0, 1), crashes=0, restarts=1)),
    "yield_certain": (False, Limits(askings=(0, 0, 1), orders=3, crashes=0)),
    "newest_pin": (True, Limits(askings=(0, 0, 2), crashes=0)),
    "same_incarnation": (True, Limits(askings=(0, 0, 1), crashes=0, restarts=1)),
}


class Job(NamedTuple):
    """One exploration: a specification, without a rule or with all."""

    specification: str
    variant: str
    without: str

    def make_protocol(self) -> Protocol:
        """Return the protocol for the checker."""
        if self.specification == "claims":
            return claims.Claims(without=self.without).make_protocol()
        if self.specification == "lease":
            return lease.Leases(self.variant, self.without).make_protocol()
        if self.specification == "returns":
            return returns.Returns(self.variant, self.without).make_protocol()
        if self.specification == "bundles":
            return bundles.Bundles(without=self.without).make_protocol()
        if self.specification == "freshness":
            return freshness.Freshness(without=self.without).make_protocol()
        if self.specification == "sends":
            return limits.Sends(without=self.without).make_protocol()
        if self.specification == "namings":
            return limits.Namings(without=self.without).make_protocol()
        if self.without:
            fences, bounds = OWNERSHIP_LOSSES[self.without]
        else:
            kind, _, name = self.variant.partition(" ")
            fences, bounds = kind == "fencing", OWNERSHIP_LIMITS[name]
        return Ownership(fences, bounds, self.without).make_protocol()


class Result(NamedTuple):
    """What an exploration found; ``broken`` maps invariants to steps."""

    states: int
    is_whole: bool
    broken: dict[str, int]


def list_jobs() -> list[Job]:
    """Return every exploration, the long ones first."""
    jobs = [
        Job("ownership", f"{kind} {name}", "")
        for kind in ("fencing", "plain")
        for name in OWNERSHIP_LIMITS
    ]
    jobs += [Job("ownership", "", rule) for rule in ownership.RULES]
    jobs += [Job("lease", variant, "") for variant in lease.VARIANTS]
    jobs += [Job("lease", _show(rule), rule) for rule in lease.RULES]
    jobs += [Job("returns", variant, "") for variant in returns.VARIANTS]
    jobs += [Job("returns", _show(rule), rule) for rule in returns.RULES]
    jobs += [Job("claims", "", rule) for rule in ("", *claims.RULES)]
    jobs += [Job("bundles", "", rule) for rule in ("", *bundles.RULES)]
    jobs += [Job("freshness", "", rule) for rule in ("", *freshness.RULES)]
    jobs += [Job("sends", "", rule) for rule in ("", *limits.SEND_RULES)]
    jobs += [Job("namings", "", rule) for rule in ("", *limits.NAMING_RULES)]
    return jobs


def _show(rule: str) -> str:
    """Return the variant in which the loss of a rule of leases shows."""
    shown = {**lease.SHOWN_IN, **returns.SHOWN_IN}
    return shown.get(rule, lease.VARIANTS[0])


def explore(job: Job) -> Result:
    """Explore one job to its end, or to the first break of a lost rule."""
    protocol = job.make_protocol()
    if job.without:
        protocol = _stop_early(protocol)
    found = check_safety(protocol, max_states=MOST_STATES)
    broken = {
        name: len(verdict["counterexample"]) - 1
        for name, verdict in found["properties"].items()
        if verdict["holds"] is False
    }
    return Result(found["reachable_states"], found["exhaustive"], broken)


def _stop_early(protocol: Protocol) -> Protocol:
    """Expand no state further once an invariant was broken."""
    seen: list[bool] = []
    transitions: Callable = protocol.transitions

    def expand(raw: tuple) -> list:
        """Return the steps, or none after a break."""
        if seen:
            return []
        steps = transitions(raw)
        for _, state in steps:
            fields = protocol.d(state)
            if not all(holds(fields) for holds in protocol.invariants.values()):
                seen.append(True)
        return steps

    return Protocol(
        name=protocol.name,
        candidate=False,
        fields=protocol.fields,
        initial=protocol.initial,
        transitions=expand,
        invariants=protocol.invariants,
    )


def judge(job: Job, result: Result) -> str:
    """Return what is wrong with a result, or nothing."""
    if job.without:
        return "" if result.broken else "the loss of the rule was not noticed"
    if result.broken:
        return f"broken: {', '.join(result.broken)}"
    return "" if result.is_whole else "not explored to its end"


def main() -> None:
    """Explore everything and print it."""
    jobs = list_jobs()
    with ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(explore, jobs))
    rows, faults = [], []
    for job, result in zip(jobs, results, strict=True):
        fault = judge(job, result)
        faults += [fault] if fault else []
        broken = ", ".join(
            f"{n} in {steps} steps" for n, steps in result.broken.items()
        )
        loss = f"without {job.without}" if job.without else job.variant
        rows.append((job.specification, loss, result.states, broken or "-", fault))
    titles = ("SPECIFICATION", "EXPLORED", "STATES", "BROKEN", "FAULT")
    print_table(titles, rows)
    total = sum(result.states for result in results)
    lost = sum(bool(job.without) for job in jobs)
    summary = {"states": total, "explorations": len(jobs), "rules_removed": lost}
    print(json.dumps({**summary, "faults": faults}))
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
