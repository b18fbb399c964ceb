"""Run every policy on the same arrivals, and print what it cost."""

import argparse
import json
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.policies.clairvoyant import Clairvoyant
from benchmarks.policies.scenarios import (
    CONTRACT,
    DEPLOYMENTS,
    MIX,
    SCENARIOS,
    make_arrivals,
)
from benchmarks.policies.world import POLICIES, Outcome, World
from roadlift.management.output import print_table

WARM_UP = 0.2  # Part of the time whose requests are not counted.
BOUND = "clairvoyant"
WORKERS = 4


class Job(NamedTuple):
    """One run."""

    deployment: str
    scenario: str
    policy: str
    seconds: float
    seed: int


def run_job(job: Job) -> dict[str, Any]:
    """Run one policy and return its figures."""
    deployment, scenario = DEPLOYMENTS[job.deployment], SCENARIOS[job.scenario]
    arrivals = make_arrivals(deployment, scenario, job.seconds, job.seed)
    figures: dict[str, Any] = {}
    if job.policy == BOUND:
        bound = Clairvoyant(deployment, scenario, arrivals)
        bound.run(arrivals, job.seconds)
        outcomes = bound.outcomes
        figures.update(loads=bound.loads)
    else:
        world = World(deployment, scenario, POLICIES[job.policy], job.seed)
        for engine in world.engines.values():
            engine.counts_from = WARM_UP * job.seconds
            engine.counts_until = job.seconds
        world.run(arrivals, job.seconds)
        outcomes = world.outcomes
        busy = sum(engine.busy_seconds for engine in world.engines.values())
        full = sum(engine.full_seconds for engine in world.engines.values())
        figures.update(
            loads=world.count_loads(),
            evictions=world.count_evictions(),
            wasted_loads=world.wasted,
            failed_loads=world.failed_loads,
            batch_efficiency=round(full / busy, 4) if busy else 0.0,
        )
    counted = [o for o in outcomes if o.arrival.at >= WARM_UP * job.seconds]
    classes = {name: measure_class(counted, name) for name in MIX}
    return {**job._asdict(), **figures, "classes": classes}


def measure_class(outcomes: Iterable[Outcome], priority: str) -> dict[str, Any]:
    """Return the figures of one class; times are in seconds."""
    mine = [o for o in outcomes if o.arrival.priority == priority]
    served = [o for o in mine if not o.refused]
    within = sum(o.first_token <= CONTRACT for o in served)
    return {
        "requests": len(mine),
        "refused": len(mine) - len(served),
        "within_contract": round(within / max(1, len(mine)), 4),
        "stall": measure_times([o.stall for o in served]),
        "first_token": measure_times([o.first_token for o in served]),
    }


def measure_times(times: list[float]) -> dict[str, float]:
    """Return percentiles and the total, in seconds."""
    ordered = sorted(times) or [0.0]
    pick = lambda part: ordered[min(len(ordered) - 1, int(part * len(ordered)))]
    return {
        "p50": round(pick(0.5), 4),
        "p95": round(pick(0.95), 4),
        "p99": round(pick(0.99), 4),
        "total": round(sum(times), 2),
    }


def run_all(jobs: list[Job]) -> list[dict[str, Any]]:
    """Run jobs side by side; the results keep the jobs' order."""
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run_job, jobs))


def list_jobs(
    scenarios: Iterable[str],
    policies: Iterable[str],
    seconds: float,
    seed: int,
    deployments: Iterable[str] = tuple(DEPLOYMENTS),
) -> list[Job]:
    """Return a job for each scenario, deployment and policy."""
    return [
        Job(deployment, scenario, policy, seconds, seed)
        for scenario in scenarios
        for deployment in deployments
        for policy in policies
    ]


def make_row(result: dict[str, Any]) -> tuple:
    """Return a result as a row of the table."""
    fast, slow = result["classes"]["interactive"], result["classes"]["batch"]
    efficiency = result.get("batch_efficiency")
    refused = sum(c["refused"] for c in result["classes"].values())
    return (
        result["scenario"],
        result["deployment"],
        result["policy"],
        fast["stall"]["p50"],
        fast["stall"]["p95"],
        fast["stall"]["p99"],
        fast["stall"]["total"],
        fast["first_token"]["p99"],
        slow["stall"]["p99"],
        fast["within_contract"],
        "-" if efficiency is None else f"{100 * efficiency:.1f}%",
        result["loads"],
        result.get("evictions", "-"),
        result.get("wasted_loads", "-"),
        refused,
    )


TITLES = (
    "SCENARIO",
    "DEPLOYMENT",
    "POLICY",
    "STALL P50",
    "P95",
    "P99",
    "TOTAL",
    "TTFT P99",
    "BATCH P99",
    "IN CONTRACT",
    "EFFICIENCY",
    "LOADS",
    "EVICTIONS",
    "WASTED",
    "REFUSED",
)


def main() -> None:
    """Read the flags and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--policies", nargs="*", default=[*POLICIES, BOUND])
    parser.add_argument("--output", type=Path, default=Path("policy.json"))
    args = parser.parse_args()
    jobs = list_jobs(args.scenarios, args.policies, args.seconds, args.seed)
    results = run_all(jobs)
    print("Times in seconds; stalls and first tokens of interactive requests.")
    print_table(TITLES, [make_row(result) for result in results])
    args.output.write_text(json.dumps(results, indent=1, sort_keys=True))
    print(f"All figures are in {args.output}.")


if __name__ == "__main__":
    main()
