"""Sign a proposed bundle off."""

from roadlift.bundles.roll import sign
from roadlift.management.sources import DEFAULT_PLATFORM, get_operator, open_store


def handle(
    digest: str, *, operator: str = "", platform: str = DEFAULT_PLATFORM
) -> None:
    """Sign a proposed bundle off, as another operator than its proposer.

    :param digest: The digest that ``propose`` printed.
    :param operator: Who signs; the user's name where none is given.
    :param platform: IP number and port of the platform.
    """
    sign(open_store(platform), digest, get_operator(operator))
    print(f"Signed. Roll it with: roadlift bundle roll {digest} --wait")
