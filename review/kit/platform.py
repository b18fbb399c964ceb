"""The platform's names and the site's figures, which platform.json holds."""

import json
from pathlib import Path

_CONTENT = json.loads(Path(__file__).with_suffix(".json").read_text())
NAMES: dict[str, str] = _CONTENT["names"]
SETTINGS: dict[str, str] = _CONTENT["settings"]
LIMITS: dict[str, int] = _CONTENT["limits"]
SERVICE: dict[str, object] = _CONTENT["service"]
