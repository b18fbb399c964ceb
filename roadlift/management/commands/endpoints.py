"""List the endpoints."""

from roadlift.management.output import print_json, print_table
from roadlift.management.sources import DEFAULT_ENTRY, ask_all


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
    rows = []
    for one in found:
        ready = [copy for copy in one["copies"] if copy["state"] == "ready"]
        pinned = [copy for copy in ready if copy["pins"]]
        held = [c for c in ready if f"~{one['epoch']}." not in c["copy"]]
        rows.append(
            (
                one["endpoint"],
                one["owner"],
                f"{len(ready)}/{one['slots']}",
                len(pinned),
                len(held) if one["unproven"] else 0,
                one["running"],
                one["queued"],
                one["waiting"],
                one["loads"],
                one["evictions"],
            )
        )
    titles = (
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
    print_table(titles, rows)
