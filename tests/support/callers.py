"""Write the requests of a platform's callers, and read its answers."""

import zlib
from collections.abc import Mapping
from typing import NamedTuple

PROMISES = (408, 421, 429, 503)  # Statuses that say that a call did not run.


class Wanted(NamedTuple):
    """A call of a caller: ``model`` is empty for a plain one.

    ``limit`` is in seconds, 0 for none; ``key`` is the organisation's. One
    that takes a stream up names in ``resumes`` the call that brought its first
    event, and in ``last_event`` the last one that came. ``part`` is a
    further part of its prompt.
    """

    id: str
    model: str = ""
    limit: float = 0.0
    key: str = ""
    resumes: str = ""
    last_event: str = ""
    parts: tuple[str, ...] = ()


def make_headers(wanted: Wanted) -> dict[str, str]:
    """Return the headers of a caller's request."""
    headers = {"Request-Id": wanted.id}
    if wanted.limit:
        headers["Deadline-Ms"] = str(int(wanted.limit * 1000))
    if wanted.key:
        headers["Authorization"] = f"Token {wanted.key}"
    if wanted.resumes:
        headers["Resumes"] = wanted.resumes
        headers["Last-Event-Id"] = wanted.last_event
    if wanted.model:
        headers["Model"] = wanted.model
        headers["Token-Count"] = "10,20"
        own = f"{zlib.crc32(wanted.id.encode()):x}:5"
        parts = ["ab:10", *(f"{part}:5" for part in wanted.parts), own]
        headers["Prompt-Prefix"] = ",".join(parts)
    return headers


def find_runner(headers: Mapping[str, str]) -> str:
    """Return the name of the runner that gave an answer, or empty."""
    return headers.get("server-stamp", "").removeprefix("stamp-")
