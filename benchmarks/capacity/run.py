"""Measure every slope and write them as JSON."""

import argparse
import json
import os
import platform
import time
from pathlib import Path

from absl import logging

from benchmarks.capacity.control import measure_control
from benchmarks.capacity.fit import Slope, read_slope
from benchmarks.capacity.memory import measure_memory
from benchmarks.capacity.processes import measure_processes
from benchmarks.capacity.processor import measure_processor

FILE = Path(__file__).parent / "slopes.json"


GROUPS = {
    "memory": measure_memory,
    "control": measure_control,
    "processor": measure_processor,
    "processes": measure_processes,
}


def read_known(path: Path) -> dict[str, Slope]:
    """Return the slopes that were measured before, by name."""
    content = json.loads(path.read_text())
    return {one["name"]: read_slope(one) for one in content["slopes"]}


def describe_machine() -> dict[str, object]:
    """Name the machine by its cores and processor only."""
    model = platform.processor() or platform.machine()
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    return {"cores": os.cpu_count(), "processor": model}


def main() -> None:
    """Measure, print and write."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", type=Path, default=FILE)
    parser.add_argument("--only", choices=sorted(GROUPS), help="keep the others")
    args = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    began = time.monotonic()
    slopes = read_known(args.output) if args.only else {}
    for name in [args.only] if args.only else GROUPS:
        slopes.update({slope.name: slope for slope in GROUPS[name]()})
        print(f"{name}: {time.monotonic() - began:.0f} s", flush=True)
    content = {
        "machine": describe_machine(),
        "slopes": [slope._asdict() for slope in slopes.values()],
    }
    args.output.write_text(json.dumps(content, indent=1) + "\n")
    print(f"{len(slopes)} slopes are in {args.output}")


if __name__ == "__main__":
    main()
