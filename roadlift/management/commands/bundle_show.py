"""Print the bundle in force."""

from roadlift.bundles.roll import load_chain
from roadlift.management.output import print_json
from roadlift.management.sources import DEFAULT_PLATFORM, open_store


def handle(*, platform: str = DEFAULT_PLATFORM) -> None:
    """Print the bundle in force as a bundle file, to edit and propose.

    :param platform: IP number and port of the platform.
    """
    chain, _ = load_chain(open_store(platform))
    print_json(chain.bundle.to_document())
