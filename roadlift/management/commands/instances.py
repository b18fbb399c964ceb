"""List the instances."""

from roadlift.management.output import print_json, print_table
from roadlift.management.sources import DEFAULT_ENTRY, ask_all, list_members


def handle(*, entry: str = DEFAULT_ENTRY, json: bool = False) -> None:
    """List the instances, as one of them sees the others.

    :param entry: HTTP address of any instance.
    :param json: Print JSON.
    """
    members = list_members(entry)
    pages = ask_all(entry, "/status")
    if json:
        print_json({"members": members, "status": pages})
        return
    rows = []
    for member in members:
        page = pages.get(member["name"])
        number = page["bundle"]["number"] if page else "-"
        running = page["running"] if page else "-"
        owned = len(page["endpoints"]) if page else "-"
        rows.append(
            (
                member["name"],
                member["zone"],
                member["state"],
                member["http"],
                number,
                running,
                owned,
            )
        )
    titles = ("INSTANCE", "ZONE", "STATE", "HTTP", "BUNDLE", "RUNNING", "OWNS")
    print_table(titles, rows)
