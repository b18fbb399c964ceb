"""Define every setting: its type, default, unit and meaning.

docs/ref/settings.md is generated from this table. A flag goes before its
environment variable, that before the file of ``node_file``, and that before
the default.
"""

import inspect
import json
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from roadlift.core.errors import ImproperlyConfigured

PREFIX = "ROADLIFT_"


class Setting(NamedTuple):
    """One setting; ``kind`` is str, int, float or bool."""

    name: str
    kind: type
    default: Any
    meaning: str

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """Return the flag."""
        return "--" + self.name.replace("_", "-")


SETTINGS = (
    Setting("instance", str, "entry-1", "Name of this instance, unlike any other's."),
    Setting("zone", str, "zone-a", "Availability zone of this instance."),
    Setting("http", str, "127.0.0.1:8080", "IP number and port for callers."),
    Setting("peer", str, "127.0.0.1:8081", "IP number and port for instances."),
    Setting("platform", str, "127.0.0.1:8090", "IP number and port of the platform."),
    Setting("seeds", str, "", "Peer addresses to join by, with commas."),
    Setting("statsd", str, "", "IP number and port of statsd; empty sends none."),
    Setting("load_timeout", float, 30.0, "Seconds until a load is in doubt."),
    Setting("connect_timeout", float, 2.0, "Seconds for an endpoint's short answers."),
    Setting("answer_timeout", float, 120.0, "Seconds between bytes of an answer."),
    Setting("queue_timeout", float, 30.0, "Seconds a request waits to be placed."),
    Setting("batch_timeout", float, 300.0, "The same for requests of class batch."),
    Setting("store_timeout", float, 2.0, "Seconds for an answer of the platform."),
    Setting("head_period", float, 1.0, "Seconds between a reader's looks at the head."),
    Setting("heartbeat_period", float, 1.0, "Seconds between heartbeats."),
    Setting("suspicion", float, 3.0, "Seconds from suspicion to belief in death."),
    Setting("report_period", float, 1.0, "Seconds between reports on pins."),
    Setting("pin_keep", float, 5.0, "Seconds that an idle pin is kept."),
    Setting("grace", float, 1.0, "Seconds a leaving instance still takes calls."),
    Setting("drain_limit", float, 600.0, "Seconds after which streams are cut."),
    Setting("most_body", int, 8388608, "Bytes of the largest request."),
    Setting("most_header", int, 16384, "Bytes of the largest request head."),
    Setting("header_timeout", float, 5.0, "Seconds for a whole request head."),
    Setting("idle_timeout", float, 60.0, "Seconds a silent connection is kept."),
    Setting(
        "memory_mb",
        float,
        0.0,
        "Megabytes of memory of this instance; 0 is what the machine tells.",
    ),
    Setting(
        "max_descriptors",
        int,
        0,
        "Descriptors that this instance may open; 0 is its resource limit.",
    ),
    Setting("most_running", int, 4096, "Requests at once on this instance."),
    Setting("retry_share", float, 0.1, "Retries as a part of the requests."),
    Setting("router", str, "ring", "Policy that routes requests to endpoints."),
    Setting("evictor", str, "aged_frequency", "Policy that evicts copies."),
    Setting("node_file", str, "", "JSON file of settings; by its variable alone."),
    Setting("interface", str, "openai", "What callers speak: openai or routes."),
    Setting("plugins", str, "", "Paths of packages to import, with commas."),
    Setting("adapter", str, "", "Plug-in that speaks to the platform of routes."),
    Setting("ready", str, "127.0.0.1:8082", "Address that tells readiness of routes."),
    Setting("metrics", str, "", "Address that serves the metrics of routes as text."),
    Setting("zones", str, "", "All availability zones, with commas."),
    Setting("regions", str, "", "Region of each zone: ZONE=REGION, with commas."),
    Setting("link_mbps", float, 1000.0, "Megabits a second of this instance's link."),
    Setting("lease_time", float, 7.0, "Seconds that an owner's lease holds."),
    Setting(
        "holder_quiet_ms",
        int,
        3000,
        "Milliseconds until an owner that was replaced may own the zone again.",
    ),
    Setting(
        "endpoint_drain_ms",
        int,
        2000,
        "Milliseconds for which an endpoint that leaves still takes calls.",
    ),
    Setting(
        "evacuate_ms",
        int,
        5000,
        "Milliseconds until nothing is sent to an evacuated zone any more.",
    ),
    Setting("retry_slack", float, 20.0, "Retries of all instances beside the share."),
    Setting("retry_window", float, 10.0, "Seconds in which retries are counted."),
    Setting(
        "revoke_ms",
        int,
        0,
        "Milliseconds for which a revoked key may be served; 0 is no limit.",
    ),
    Setting(
        "allowance_over",
        float,
        0.0,
        "Part by which the allowances of organisations may be passed.",
    ),
    Setting(
        "allowance_slack",
        float,
        0.0,
        "Amount by which they may be passed beside, in each window.",
    ),
    Setting("allowance_window", float, 8.0, "Seconds in which use is counted."),
    Setting("log_format", str, "text", "Format of the logs: text or json."),
    Setting("engine_api", str, "openai", "Plug-in that speaks to the engines."),
)


class Settings:
    """The settings in force, as attributes of their names."""

    def __init__(self, values: Mapping[str, Any]) -> None:
        for setting in SETTINGS:
            setattr(self, setting.name, values.get(setting.name, setting.default))


def read_environment(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the settings that stand in environment variables."""
    found: dict[str, Any] = {}
    for setting in SETTINGS:
        text = environment.get(setting.variable)
        if text is not None:
            found[setting.name] = _convert(setting, text)
    known = {setting.variable for setting in SETTINGS}
    for variable in environment:
        if variable.startswith(PREFIX) and variable not in known:
            raise ImproperlyConfigured(f"{variable}: there is no such setting")
    return found


def read_file(path: str) -> dict[str, Any]:
    """Return the settings that stand in a JSON file."""
    try:
        content = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ImproperlyConfigured(f"node_file: {error}") from error
    if not isinstance(content, dict):
        raise ImproperlyConfigured(f"node_file: {path}: an object was expected")
    known = {setting.name: setting for setting in SETTINGS}
    for name in content:
        if name not in known:
            raise ImproperlyConfigured(f"node_file: {name}: there is no such setting")
    return {name: _convert(known[name], value) for name, value in content.items()}


def read_defaults(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the settings of the environment, and of the file it names."""
    found = read_environment(environment)
    path = found.get("node_file")
    return {**read_file(path), **found} if path else found


def read_settings(environment: Mapping[str, str]) -> "Settings":
    """Return all settings of a process that was given no flags."""
    return Settings(read_defaults(environment))


def _convert(setting: Setting, text: Any) -> Any:
    try:
        return setting.kind(text)
    except (TypeError, ValueError):
        expected = setting.kind.__name__
        raise ImproperlyConfigured(
            f"{setting.variable}: {expected} was expected, not {text!r}"
        ) from None


def make_command(run: Callable[[Settings, bool], None]) -> Callable[..., None]:
    """Return a function with a parameter a setting, for defopt."""
    defaults = read_defaults(os.environ)

    def command(*, check: bool = False, **values: Any) -> None:
        """Pass the flags on as settings."""
        run(Settings(values), check)

    parameters = [
        inspect.Parameter("check", inspect.Parameter.KEYWORD_ONLY, default=False)
    ]
    lines = ["Run an entry instance of roadlift.", ""]
    lines.append(":param check: Only check the settings, and exit.")
    annotations: dict[str, type] = {"check": bool}
    for setting in SETTINGS:
        default = defaults.get(setting.name, setting.default)
        parameters.append(
            inspect.Parameter(
                setting.name, inspect.Parameter.KEYWORD_ONLY, default=default
            )
        )
        annotations[setting.name] = setting.kind
        lines.append(f":param {setting.name}: {setting.meaning} [{setting.variable}]")
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = annotations
    command.__doc__ = "\n".join(lines)
    command.__name__ = "roadliftd"
    return command
