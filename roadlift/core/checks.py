"""Run the registered checks before the process starts."""

from collections.abc import Callable
from typing import NamedTuple


class Finding(NamedTuple):
    """One problem that a check found.

    ``id`` is stable, such as ``settings.E001``.
    """

    id: str
    message: str
    hint: str


Check = Callable[[object], list[Finding]]

_checks: list[Check] = []


def register(check: Check) -> Check:
    """Register ``check``, which takes the settings; usable as a decorator."""
    _checks.append(check)
    return check


def run_checks(settings: object) -> list[Finding]:
    """Run every registered check and return all findings."""
    findings: list[Finding] = []
    for check in _checks:
        findings.extend(check(settings))
    return findings
