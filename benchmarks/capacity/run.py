"""Measure every slope and write them as JSON."""

import argparse
import json
import os
import platform
import time
from pathlib import Path

from absl import logging

from benchmarks.capacity.control import measure_control
from benchmarks.capacity.fit import Slope
from benchmarks.capacity.memory import measure_memory
from benchmarks.capacity.processes import measure_processes
from benchmarks.capacity.processor import measure_processor

FILE = Path(__file__).parent / "slopes.json"


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
    args = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    began = time.monotonic()
    slopes: list[Slope] = []
    groups = (measure_memory, measure_control, measure_processor, measure_processes)
    for group in groups:
        slopes += group()
        print(f"{group.__name__}: {time.monotonic() - began:.0f} s", flush=True)
    content = {
        "machine": describe_machine(),
        "slopes": [slope._asdict() for slope in slopes],
    }
    args.output.write_text(json.dumps(content, indent=1) + "\n")
    print(f"{len(slopes)} slopes are in {args.output}")


if __name__ == "__main__":
    main()
