"""Write a typed error as the body of an answer."""

import json

from roadlift.core.errors import RoadliftError


def encode_error(error: RoadliftError) -> bytes:
    """Return the JSON body of an error, in the format of OpenAI's API."""
    content = {
        "message": str(error),
        "type": f"roadlift_{error.outcome}",
        "code": error.code,
        "outcome": str(error.outcome),
        "param": None,
    }
    return json.dumps({"error": content}).encode()


def format_seconds(seconds: float) -> str:
    """Return seconds for a Retry-After field, an integer of at least 1."""
    return str(max(1, round(seconds)))
