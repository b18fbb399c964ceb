"""Run every feature and print the counts in one plain line."""

import sys

from behave.configuration import Configuration
from behave.model import ScenarioOutline
from behave.runner import Runner


def count_scenarios(features) -> dict[str, int]:
    """Return how many scenarios ended in each status."""
    counts: dict[str, int] = {}
    for feature in features:
        for one in feature.scenarios:
            for scenario in (
                one.scenarios if isinstance(one, ScenarioOutline) else [one]
            ):
                name = scenario.status.name
                counts[name] = counts.get(name, 0) + 1
    return counts


def main() -> None:
    """Run, print and exit with 1 on any failure."""
    arguments = sys.argv[1:] or ["tests"]
    runner = Runner(Configuration(["--format", "progress", "--no-color", *arguments]))
    has_failed = runner.run()
    counts = count_scenarios(runner.features)
    passed = counts.pop("passed", 0)
    failed = sum(counts.values())
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if has_failed or failed or not passed else 0)


if __name__ == "__main__":
    main()
