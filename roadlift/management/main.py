"""Run the command-line tool."""

import importlib
import os
import pkgutil
import sys
from collections.abc import Callable
from typing import Any

import defopt

from roadlift.core.errors import RoadliftError
from roadlift.management import commands

EXIT_FAILED = 1
_NO_PLATFORM = 69  # EX_UNAVAILABLE of sysexits.h.


def find_commands() -> dict[str, Any]:
    """Return the commands by name, those of a group in a nested dict."""
    found: dict[str, Any] = {}
    for module in pkgutil.iter_modules(commands.__path__):
        group, _, name = module.name.partition("_")
        handle = _load(module.name)
        if name:
            found.setdefault(group, {})[name] = handle
        else:
            found[group] = handle
    return found


def _load(name: str) -> Callable[..., None]:
    module = importlib.import_module(f"{commands.__name__}.{name}")
    return module.handle


def main() -> None:
    """Run the command of the arguments; a failure prints its code."""
    try:
        defopt.run(find_commands(), argv=sys.argv[1:])
    except RoadliftError as error:
        print(error, file=sys.stderr)
        raise SystemExit(
            _NO_PLATFORM if error.code == "platform_unavailable" else EXIT_FAILED
        ) from None
    except BrokenPipeError:
        # The reader of a pipe has seen enough.
        os._exit(0)


if __name__ == "__main__":
    main()
