"""List the endpoints."""

from typing import Any

from roadlift.management.output import print_json, print_table
from roadlift.management.sources import DEFAULT_ENTRY, ask_all

TITLES = (
    "ENDPOINT",
    "OWNER",
    "READY",
    "PINNED",
    "HELD",
    "RUNNING",
    "QUEUED",
    "WAITING",
    "LOADS",
    "EVICTIONS",
)


def handle(*, entry: str = DEFAULT_ENTRY, json: bool = False) -> None:
    """List the engines, by their owners: copies, pins and queues.

    ``HELD`` counts copies that can't be evicted as an instance has not
    proven that it holds no pin on them.

    :param entry: HTTP address of any instance.
    :param json: Print JSON.
    """
    pages = ask_all(entry, "/status")
    found = [
        {**endpoint, "owner": name}
        for name, page in pages.items()
        if page
        for endpoint in page["endpoints"]
    ]
    found.sort(key=lambda endpoint: endpoint["endpoint"])
    if json:
        print_json(found)
        return
    print_table(TITLES, [_make_row(one) for one in found])


def _make_row(one: dict[str, Any]) -> tuple:
    ready = [copy for copy in one["copies"] if copy["state"] == "ready"]
    pinned = [copy for copy in ready if copy["pins"]]
    earlier = [copy for copy in ready if f"~{one['epoch']}." not in copy["copy"]]
    return (
        one["endpoint"],
        one["owner"],
        f"{len(ready)}/{one['slots']}",
        len(pinned),
        len(earlier) if one["unproven"] else 0,
        one["running"],
        one["queued"],
        one["waiting"],
        one["loads"],
        one["evictions"],
    )
