"""Propose a bundle."""

from pathlib import Path

from roadlift.bundles.roll import propose
from roadlift.management.output import print_json
from roadlift.management.sources import (
    DEFAULT_PLATFORM,
    get_operator,
    open_store,
    read_bundle_file,
)


def handle(
    file: Path,
    *,
    operator: str = "",
    platform: str = DEFAULT_PLATFORM,
    json: bool = False,
) -> None:
    """Check a bundle file and propose it to follow the one in force.

    :param file: The bundle, as docs/ref/bundle.md describes it.
    :param operator: Who proposes; the user's name where none is given.
    :param platform: IP number and port of the platform.
    :param json: Print JSON.
    """
    document = read_bundle_file(file)
    proposal = propose(open_store(platform), document, get_operator(operator))
    if json:
        print_json(proposal._asdict())
        return
    print(f"Proposed as number {proposal.number}: {proposal.changed} entries change.")
    print(f"Another operator signs it off with: roadlift bundle sign {proposal.digest}")
