"""Run registered checks before start; each finding has a stable id."""

from collections.abc import Callable
from typing import NamedTuple


class Finding(NamedTuple):
    """One thing that a check found wrong.

    ``id`` is stable, such as ``settings.E001``.
    """

    id: str
    message: str
    hint: str


Check = Callable[[object], list[Finding]]

_checks: list[Check] = []


def register(check: Check) -> Check:
    """Register ``check``, which takes the settings; use as a decorator."""
    _checks.append(check)
    return check


def run_checks(settings: object) -> list[Finding]:
    """Run every registered check and return all findings."""
    found: list[Finding] = []
    for check in _checks:
        found.extend(check(settings))
    return found
