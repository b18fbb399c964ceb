"""Open the adapter of the platform that this instance runs on."""

import importlib
import sys
from pathlib import Path

from roadlift.core.errors import ImproperlyConfigured
from roadlift.core.kernel import Kernel, components
from roadlift.serving.interfaces import adapters


def import_plugins(paths: str) -> None:
    """Import packages by their paths, separated by commas.

    The folder of each package is appended to Python's path.
    """
    for text in paths.split(","):
        if not text:
            continue
        path = Path(text).resolve()
        if not path.is_dir():
            raise ImproperlyConfigured(f"plugins: {text!r} is not a folder")
        if str(path.parent) not in sys.path:
            sys.path.append(str(path.parent))
        importlib.import_module(path.name)


@components.register("platform")
class Platform:
    """The platform's adapter, and this process's client of its store."""

    name = "platform"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self.adapter = adapters.get(kernel.settings.adapter)
        self.store = self.adapter.open_store(kernel)

    def start(self) -> None:
        """Do nothing: other components make the calls."""

    def close(self) -> None:
        """Do nothing: the dialer's connections end with the process."""
