"""Run every feature, and print a verdict and the counts in one plain line.

A scenario that KNOWN-RED.txt lists must fail, and every other must pass.
"""

import itertools
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from typing import NamedTuple

from behave.configuration import Configuration
from behave.model import ScenarioOutline
from behave.runner import Runner

from tests.support.verdict import (
    InvalidList,
    KnownFailure,
    Verdict,
    judge,
    read_known_failures,
)

REPORT_FLAG = "--report"  # Before a file for the results, and features.
# The beginnings of the paths of slow features, the slowest first.
SLOW_PATHS = ("tests/ownership/specification", "tests/instance")
# The beginning of the paths of features that run alone: what processes take on
# a small machine is measured.
ALONE = "tests/crowds/"
# Processes that run features at once: some of them start more processes.
WORKERS = max(1, (os.cpu_count() or 1) // 2)
KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"


class FileResult(NamedTuple):
    """How the scenarios of one file or more ended, by ``FILE: SCENARIO``.

    ``is_broken`` tells that the run failed outside its scenarios; ``output``
    is what it printed.
    """

    statuses: dict[str, str]
    is_broken: bool
    output: str


def list_statuses(features) -> dict[str, str]:
    """Return how each scenario ended, by ``FILE: SCENARIO``."""
    statuses: dict[str, str] = {}
    for feature in features:
        for one in feature.scenarios:
            rows = one.scenarios if isinstance(one, ScenarioOutline) else [one]
            for scenario in rows:
                name = f"{feature.filename}: {scenario.name.strip()}"
                statuses[name] = scenario.status.name
    return statuses


def load_known_failures(path: Path) -> list[KnownFailure]:
    """Read the list of known failures; a missing file lists none."""
    if not path.exists():
        return []
    return read_known_failures(path.read_text(encoding="utf-8"))


def run_files(paths: list[str]) -> FileResult:
    """Run the features that the paths name."""
    with redirect_stdout(StringIO()) as output:
        runner = Runner(Configuration(["--format", "progress", "--no-color", *paths]))
        has_failed = runner.run()
    statuses = list_statuses(runner.features)
    is_explained = any(status != "passed" for status in statuses.values())
    is_broken = runner.aborted or bool(runner.hook_failures)
    is_broken = is_broken or (has_failed and not is_explained)
    return FileResult(statuses, is_broken, output.getvalue())


def run_apart(path: str) -> FileResult:
    """Run one feature in a process of its own."""
    with tempfile.NamedTemporaryFile("r", suffix=".json") as report:
        command = [sys.executable, "-m", "tests.run", REPORT_FLAG, report.name, path]
        done = subprocess.run(command, capture_output=True, text=True)
        content = report.read()
    output = done.stdout + done.stderr
    if not content:
        return FileResult({}, True, output)
    return FileResult(*json.loads(content))._replace(output=output)


def _rank(path: str) -> int:
    """Return the place of a feature among the slow ones, or behind them."""
    matches = [path.startswith(prefix) for prefix in SLOW_PATHS]
    return matches.index(True) if True in matches else len(matches)


def run_all() -> FileResult:
    """Run every feature, each file in a process of its own, some at once.

    The slow ones come first, so that none of them is alone at the end; those
    that run alone come behind all others.
    """
    paths = sorted(map(str, Path("tests").rglob("*.feature")))
    paths.sort(key=_rank)
    shared = [path for path in paths if not path.startswith(ALONE)]
    statuses: dict[str, str] = {}
    is_broken = False
    with ThreadPoolExecutor(WORKERS) as pool:
        alone = (run_apart(path) for path in paths if path.startswith(ALONE))
        for result in itertools.chain(pool.map(run_apart, shared), alone):
            print(result.output, flush=True)
            statuses.update(result.statuses)
            is_broken = is_broken or result.is_broken
    return FileResult(statuses, is_broken, "")


def write_report(path: str, features: list[str]) -> None:
    """Run features, and write how they ended to a file."""
    result = run_files(features)
    print(result.output)
    Path(path).write_text(json.dumps(result._replace(output="")), encoding="utf-8")


def run(arguments: list[str], known: list[KnownFailure]) -> Verdict:
    """Run the features that the arguments name, or all, and judge them."""
    result = run_files(arguments) if arguments else run_all()
    print(result.output)
    if arguments:
        # A run of some features says nothing of what is listed in others.
        known = [one for one in known if one.test in result.statuses]
    return judge(result.statuses, known, result.is_broken)


def main() -> None:
    """Run, print and exit with 1 on a red verdict."""
    if sys.argv[1:2] == [REPORT_FLAG]:
        write_report(sys.argv[2], sys.argv[3:])
        return
    try:
        known = load_known_failures(KNOWN_FAILURES)
    except InvalidList as error:
        print(f"{KNOWN_FAILURES.name}: {error}")
        sys.exit(1)
    verdict = run(sys.argv[1:], known)
    for failure in verdict.known:
        print("known to fail:", *failure, sep="\n  ")
    for reason in verdict.reasons:
        print("red:", reason)
    print(f"{verdict.passed} passed, {verdict.failed} failed")
    sys.exit(1 if verdict.reasons else 0)


if __name__ == "__main__":
    main()
