"""Check the settings."""

import os

import roadlift.conf.checks  # noqa: F401  The checks register themselves.
from roadlift.conf.settings import Settings, read_defaults
from roadlift.core.checks import run_checks
from roadlift.instance.platform import import_plugins
from roadlift.management.output import print_json, print_table

EXIT_FOUND = 78  # EX_CONFIG of sysexits.h.


def handle(*, json: bool = False) -> None:
    """Check the settings that stand in environment variables and their file.

    :param json: Print JSON.
    """
    settings = Settings(read_defaults(os.environ))
    import_plugins(settings.plugins)
    findings = run_checks(settings)
    if json:
        print_json([finding._asdict() for finding in findings])
    elif findings:
        print_table(("ID", "MESSAGE", "HINT"), findings)
    else:
        print("The settings are good.")
    if findings:
        raise SystemExit(EXIT_FOUND)
