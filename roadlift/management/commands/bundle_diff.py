"""Compare a bundle file with the bundle in force."""

from pathlib import Path

from roadlift.bundles.content import SECTIONS, Bundle
from roadlift.bundles.roll import load_chain
from roadlift.management.output import print_json, print_table
from roadlift.management.sources import (
    DEFAULT_PLATFORM,
    open_store,
    read_bundle_file,
)


def handle(file: Path, *, platform: str = DEFAULT_PLATFORM, json: bool = False) -> None:
    """Show what a bundle file would change.

    :param file: The bundle file.
    :param platform: IP number and port of the platform.
    :param json: Print JSON.
    """
    after = Bundle.from_document(read_bundle_file(file))
    chain, head = load_chain(open_store(platform))
    change = chain.bundle.compare(after, head.digest)
    if json:
        print_json({"put": change.put, "drop": change.drop})
        return
    rows = []
    for section in SECTIONS:
        known = set(chain.bundle.list_names(section))
        rows += [
            ("change" if name in known else "add", section, name)
            for name in sorted(change.put[section])
        ]
        rows += [("drop", section, name) for name in sorted(change.drop[section])]
    print_table(("WHAT", "SECTION", "NAME"), rows)
