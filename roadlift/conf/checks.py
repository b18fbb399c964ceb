"""Check the settings before start; each finding has a stable id."""

from roadlift.conf.settings import SETTINGS, Settings
from roadlift.core.checks import Finding, register
from roadlift.core.errors import ImproperlyConfigured
from roadlift.decisions.homes import Regions
from roadlift.endpoints.api import engine_apis
from roadlift.policy.eviction import evictors
from roadlift.policy.routing import routers
from roadlift.relay.address import Address
from roadlift.serving.interfaces import adapters

_ADDRESSES = ("http", "peer", "platform", "ready")
_CHOICES = {"interface": ("openai", "routes"), "log_format": ("text", "json")}
_LISTED_ADDRESSES = ("metrics", "seeds", "statsd")
# Limits of which 0 says that there is none, or nothing beyond them.
_NOT_NEGATIVE = (
    "allowance_over",
    "allowance_slack",
    "max_descriptors",
    "memory_mb",
    "revoke_ms",
)
_POSITIVE = tuple(
    setting.name
    for setting in SETTINGS
    if setting.kind in (int, float) and setting.name not in _NOT_NEGATIVE
)  # Every other number among the settings is a size, rate or time above zero.


@register
def check_addresses(settings: Settings) -> list[Finding]:
    """Check that addresses are IP numbers with ports."""
    found = []
    for name in _ADDRESSES + _LISTED_ADDRESSES:
        text = getattr(settings, name)
        pieces = [piece for piece in text.split(",") if piece]
        if name in _ADDRESSES and not pieces:
            pieces = [text]
        for piece in pieces:
            try:
                Address.parse(piece)
            except (ValueError, OSError):
                message = f"{name}: an IP number with a port was expected: {piece!r}"
                hint = "Write it as 127.0.0.1:8080; names are not looked up."
                found.append(Finding("settings.E001", message, hint))
    return found


@register
def check_numbers(settings: Settings) -> list[Finding]:
    """Check that sizes, rates and times are above zero."""
    found = []
    for name in _POSITIVE:
        value = getattr(settings, name)
        if not value > 0:
            message = f"{name}: a number above zero was expected: {value!r}"
            found.append(Finding("settings.E002", message, "Leave it at its default."))
    return found


@register
def check_limits(settings: Settings) -> list[Finding]:
    """Check that limits which may be 0 are not below it."""
    found = []
    for name in _NOT_NEGATIVE:
        value = getattr(settings, name)
        if not value >= 0:
            message = f"{name}: 0 or a number above it was expected: {value!r}"
            found.append(Finding("settings.E007", message, "Leave it at its default."))
    return found


@register
def check_plugins(settings: Settings) -> list[Finding]:
    """Check that the named plug-ins are registered."""
    found = []
    kinds = [("router", routers), ("evictor", evictors), ("engine_api", engine_apis)]
    if settings.interface == "routes":
        kinds.append(("adapter", adapters))
    for name, registry in kinds:
        try:
            registry.get(getattr(settings, name))
        except ImproperlyConfigured as error:
            hint = f"Set it to one of: {', '.join(registry.names())}."
            found.append(Finding("settings.E003", f"{name}: {error.detail}", hint))
    return found


@register
def check_names(settings: Settings) -> list[Finding]:
    """Check that the instance and its zone have usable names."""
    found = []
    for name in ("instance", "zone"):
        text = getattr(settings, name)
        if not text or "#" in text or "/" in text:
            message = f"{name}: a name without # and / was expected: {text!r}"
            hint = "Use letters, digits, dots and hyphens."
            found.append(Finding("settings.E004", message, hint))
    return found


@register
def check_choices(settings: Settings) -> list[Finding]:
    """Check that settings with few values have one of them."""
    found = []
    for name, choices in _CHOICES.items():
        if getattr(settings, name) not in choices:
            message = f"{name}: {getattr(settings, name)!r} is not one of its values"
            hint = f"Set it to one of: {', '.join(choices)}."
            found.append(Finding("settings.E006", message, hint))
    return found


@register
def check_regions(settings: Settings) -> list[Finding]:
    """Check that the regions of zones are readable and cover all zones."""
    hint = "List them as zone-a=north,zone-b=south."
    try:
        regions = Regions.parse(settings.regions)
    except ImproperlyConfigured as error:
        return [Finding("settings.E008", error.detail, hint)]
    if not settings.regions:
        return []
    return [
        Finding("settings.E008", f"regions: zone {zone!r} has no region", hint)
        for zone in settings.zones.split(",")
        if zone and not regions.has_zone(zone)
    ]


@register
def check_timing(settings: Settings) -> list[Finding]:
    """Check that times which depend on each other fit."""
    if settings.suspicion >= settings.heartbeat_period:
        return []
    message = "suspicion: a time of at least heartbeat_period was expected"
    hint = "A suspect needs a heartbeat to refute the suspicion."
    return [Finding("settings.E005", message, hint)]
