"""Find the platform and the instances for the commands."""

import getpass
import json
import os
from pathlib import Path
from typing import Any

from roadlift.bundles.content import read_document
from roadlift.core.errors import ImproperlyConfigured, InvalidBundle, RoadliftError
from roadlift.relay.address import Address
from roadlift.relay.upstream import Request
from roadlift.store.client import DirectStore, call_directly

TIMEOUT = 5.0  # Seconds.
DEFAULT_PLATFORM = os.environ.get("ROADLIFT_PLATFORM", "127.0.0.1:8090")
DEFAULT_ENTRY = os.environ.get("ROADLIFT_HTTP", "127.0.0.1:8080")


def open_store(platform: str) -> DirectStore:
    """Return the platform's stores."""
    return DirectStore(_parse("platform", platform), TIMEOUT)


def get_operator(operator: str) -> str:
    """Return the operator's name, the user's where none is given."""
    return operator or getpass.getuser()


def read_bundle_file(path: Path) -> dict[str, dict[str, Any]]:
    """Read and check a bundle file."""
    try:
        text = path.read_text()
    except OSError as error:
        raise InvalidBundle(f"{path}: {error.strerror}") from error
    return read_document(text, str(path))


def ask_instance(entry: str, path: str) -> dict[str, Any]:
    """Ask one instance for a JSON page."""
    address = _parse("entry", entry)
    answer = call_directly(address, Request("GET", path), TIMEOUT)
    return json.loads(answer.body)


def ask_all(entry: str, path: str) -> dict[str, dict[str, Any] | None]:
    """Ask every instance that one of them knows, by name; None is silent."""
    members = ask_instance(entry, "/status")["members"]
    pages: dict[str, dict[str, Any] | None] = {}
    for member in members:
        if member["state"] == "gone":
            continue
        try:
            pages[member["name"]] = ask_instance(member["http"], path)
        except RoadliftError:
            pages[member["name"]] = None
    return pages


def list_members(entry: str) -> list[dict[str, Any]]:
    """Return the members that one instance knows."""
    return ask_instance(entry, "/status")["members"]


def _parse(name: str, text: str) -> Address:
    try:
        return Address.parse(text)
    except (ValueError, OSError):
        expected = "an IP number with a port was expected"
        raise ImproperlyConfigured(f"{name}: {expected}, not {text!r}") from None
