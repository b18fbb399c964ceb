"""Let a call or load in again that is refused."""

from roadlift.core.errors import UnknownWork
from roadlift.instance.crashrows import TABLE
from roadlift.management.rows import BlockingRows
from roadlift.management.sources import DEFAULT_PLATFORM
from roadlift.serving.crashevidence import read_key
from roadlift.serving.interfaces import RowWrite


def handle(identity: str, *, platform: str = DEFAULT_PLATFORM) -> None:
    """Let work in again that is refused for the ends of endpoints.

    Instances learn of it when they next read, and begin to count anew. With
    the environment's settings of an instance of the interface routes.

    :param identity: The identity of the work, as barred and the logs have it.
    :param platform: Address of the platform's table service.
    """
    key = read_key(identity).hex()
    rows = BlockingRows(platform)
    try:
        found = {row.key: row.position for row in rows.read(TABLE).rows}
        if key not in found:
            raise UnknownWork(key)
        rows.write(RowWrite(TABLE, key, None, found[key]))
    finally:
        rows.close()
    print(f"{key} is let in again.")
