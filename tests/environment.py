"""Set up and clean up around features and scenarios."""

import tempfile
from pathlib import Path

from absl import logging

from demo.fleet import Fleet


def before_all(context) -> None:
    """Keep the parts' logs out of the report."""
    logging.set_verbosity(logging.FATAL)


def before_feature(context, feature) -> None:
    """Start what the feature's tag asks for."""
    context.fleet = None
    if "fleet" in feature.tags:
        context.folder = tempfile.TemporaryDirectory()
        context.fleet = Fleet(Path(context.folder.name), {"pin_keep": "2"})


def after_feature(context, feature) -> None:
    """End the processes that the feature started."""
    if context.fleet is not None:
        context.fleet.close()
        context.folder.cleanup()
