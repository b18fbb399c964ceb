"""Put together what the logs say of one request.

The story is the request's own lines and steps, and what its instances and
owners logged meanwhile of the endpoints, adapters and zones that it met.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from roadlift.core.errors import RequestUnknown
from roadlift.explanation.lines import Line, Log

# Seconds around a request in which other lines may bear on it: an owner that
# was lost before still is missed, and clocks of instances differ.
BEFORE = 5.0
BEHIND = 1.0
_ENDS = ("call_ended", "call_refused")
_OWN = (*_ENDS, "send_failed", "send_silent", "silence_ended")
_ANYWHERE = (
    "lease_gained",
    "lease_lost",
    "lease_released",
    "store_came_back_older",
    "store_lost",
    "store_regained",
)
_HERE = (
    "configuration_in_force",
    "drained",
    "leaving",
    "list_passed_over",
    "row_older",
    "row_written_again",
    "started",
    "stopped",
)


class Event(NamedTuple):
    """Something of the story; ``at`` is in seconds from the call's arrival."""

    at: float
    instance: str
    text: str
    is_own: bool


class Story(NamedTuple):
    """What became of a request; ``causes`` are the likeliest ones first."""

    request: str
    outcome: str
    error: str
    events: list[Event]
    causes: list[str]


def tell_story(log: Log, request: str) -> Story:
    """Return the story of a request, or raise RequestUnknown."""
    own = [line for line in log.lines if line.fields.get("request") == request]
    if not own:
        raise RequestUnknown(request)
    end = _find_end(own)
    began = end.time - end.fields.get("seconds", 0.0)
    around = [
        line
        for line in log.lines
        if began - BEFORE <= line.time <= end.time + BEHIND and line not in own
    ]
    met = _find_met(own, end)
    context = [line for line in around if _bears(line, end, met)]
    events = [_tell(line, began, False) for line in context]
    events += [_tell(line, began, True) for line in own]
    events += _tell_steps(end, began)
    events.sort(key=lambda event: event.at)
    outcome = end.fields.get("outcome", "refused")
    error = end.fields.get("error") or ""
    return Story(request, outcome, error, events, _find_causes(end, around, met))


def _find_end(own: list[Line]) -> Line:
    """Return the line of the request's end, at the instance that ended it.

    One that forwarded the request has a line of its own.
    """
    ends = [line for line in own if line.name in _ENDS]
    last = [line for line in ends if line.fields.get("outcome") != "forwarded"]
    return [*last, *ends, own[-1]][0]


def _find_met(own: Iterable[Line], end: Line) -> set[str]:
    """Return the endpoints that the request was sent to or waited for."""
    met = {line.fields.get("endpoint") for line in own}
    met |= {step.get("endpoint") for step in end.fields.get("steps", ())}
    return {endpoint for endpoint in met if endpoint}


def _bears(line: Line, end: Line, met: set[str]) -> bool:
    """Return whether another line bears on the request."""
    if line.name in _ANYWHERE:
        return True
    if line.name in _HERE:
        return line.instance == end.instance
    if _is_waiting_unload(line, met) and not line.fields.get("is_poll"):
        return True
    if line.name == "order" and line.fields.get("is_poll"):
        is_telling = line.fields.get("result") != "accepted"
        return is_telling and line.fields.get("model") == end.fields.get("model")
    if line.name in ("order", "load_denied", "version_declared"):
        return line.fields.get("model") == end.fields.get("model")
    if line.name in _OWN:
        return False
    return line.fields.get("endpoint") in met


def _is_waiting_unload(line: Line, met: set[str]) -> bool:
    """Return whether an unload waits for calls to end at an engine."""
    fields = line.fields
    is_waiting = fields.get("result") == "accepted" and line.name == "order"
    is_unload = fields.get("action") == "unload"
    return is_unload and is_waiting and fields.get("endpoint") in met


def _tell(line: Line, began: float, is_own: bool) -> Event:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in ("level", "part", "steps", "request") and value is not None
    )
    at = round(line.time - began, 3)
    return Event(at, line.instance, f"{line.name} {fields}".strip(), is_own)


def _tell_steps(end: Line, began: float) -> list[Event]:
    events = []
    for step in end.fields.get("steps", ()):
        details = {key: step[key] for key in step if key not in ("at", "step")}
        fields = " ".join(f"{key}={value}" for key, value in details.items())
        text = f"{step['step']} {fields}".strip()
        events.append(Event(step["at"], end.instance, text, True))
    return events


def _find_causes(end: Line, around: list[Line], met: set[str]) -> list[str]:
    """Return what the lines around speak for, the likeliest first."""
    causes = _explain_refusal(end)
    causes += _explain_evacuations(end, around)
    causes += _explain_leaving(end, around)
    causes += _explain_configuration(end, around)
    causes += _explain_store(end, around)
    causes += _explain_endpoints(end, around, met)
    if not causes:
        # A call that an endpoint failed has waited enough to be sent.
        causes = _explain_wait(end, around, met)
    return causes or ["nothing else was logged that bears on it"]


def _explain_refusal(end: Line) -> list[str]:
    """Explain a request that was refused by its key, or by what is known."""
    code = str(end.fields.get("error")).partition(":")[0]
    fields = end.fields
    age = fields.get("configuration_age")
    if code == "unknown_key":
        version = fields.get("configuration")
        return [
            f"no organisation of configuration {version}, known as of {age} s ago, "
            "holds its key"
        ]
    if code == "stale_configuration":
        return [f"{end.instance} knew the configuration as of {age} s ago only"]
    if code == "over_allowance":
        return [
            f"organisation {fields.get('organisation')} asked for "
            f"{fields.get('demand')} a second here, where {fields.get('share')} of its "
            f"allowance was free, by news {fields.get('news_age')} s old"
        ]
    if code == "limit_reached":
        return _explain_limits(end)
    if code == "endpoints_resting":
        return _explain_rests(end)
    if code == "home_unavailable":
        detail = str(end.fields.get("error")).partition(": ")[2]
        return [f"it may only run at home, and no endpoint is ready there: {detail}"]
    return []


def _explain_limits(end: Line) -> list[str]:
    """Tell which endpoints' limits left no room for a call."""
    steps = end.fields.get("steps", ())
    limits = {one["endpoint"]: one for one in steps if one["step"] == "limit"}
    causes = [
        f"{one['endpoint']} takes {limits[one['endpoint']]['limit']} calls a second, "
        f"named {limits[one['endpoint']]['named']} s before, and had none free for "
        f"{one['wait']} s"
        for one in steps
        if one["step"] == "full" and one["endpoint"] in limits
    ]
    leased = {one["endpoint"] for one in steps if one["step"] == "slot"}
    causes += [
        f"{one['endpoint']} bears few rejections, and had no slot free for "
        f"{one['wait']} s"
        for one in steps
        if one["step"] == "full" and one["endpoint"] in leased - set(limits)
    ]
    return causes or ["its endpoints name limits, and had none free when it came"]


def _explain_rests(end: Line) -> list[str]:
    """Tell which endpoint's rest was the first to end, and too late."""
    rests = [one for one in end.fields.get("steps", ()) if one["step"] == "rest"]
    return [
        f"{one['endpoint']} wanted no calls from {end.instance} for {one['wait']} s "
        "more, and no other endpoint could run it"
        for one in rests[-1:]
    ]


def _explain_evacuations(end: Line, around: list[Line]) -> list[str]:
    """Tell which zones the operator had taken out for a refused call."""
    if not str(end.fields.get("error")).startswith("zones_evacuated"):
        return []
    zones = sorted(
        {
            line.fields["zone"]
            for line in around
            if line.name == "zone_evacuated" and line.instance == end.instance
        }
    )
    text = "all zones with endpoints of its service are evacuated"
    return [f"{text}, of late {', '.join(zones)}" if zones else text]


def _explain_leaving(end: Line, around: list[Line]) -> list[str]:
    """Tell which endpoints of the service of a refused call had left."""
    if not str(end.fields.get("error")).startswith("no_endpoint"):
        return []
    service = end.fields.get("service")
    left = {
        line.fields["endpoint"]
        for line in around
        if line.name == "endpoint_leaving" and line.fields.get("service") == service
    }
    return [f"{endpoint} had said that it leaves" for endpoint in sorted(left)]


def _explain_configuration(end: Line, around: list[Line]) -> list[str]:
    """Explain a call without a route that a newer configuration has."""
    code = str(end.fields.get("error")).partition(":")[0]
    known = end.fields.get("configuration")
    newer = [
        line
        for line in around
        if line.name == "configuration_in_force" and line.time <= end.time
        if known is not None and line.fields.get("version", known) > known
    ]
    if code != "no_route" or not newer:
        return []
    first = min(newer, key=lambda line: line.time)
    seconds = round(end.time - first.time, 3)
    text = (
        f"configuration {known:g} was in force at {end.instance}, and "
        f"{first.fields['version']:g} at {first.instance} since {seconds} s"
    )
    if any(line.name == "store_came_back_older" for line in around):
        text += ", behind the store's return from an older copy"
    return [text]


def _explain_store(end: Line, around: list[Line]) -> list[str]:
    lost = [line for line in around if line.name == "store_lost"]
    if not lost or "no_configuration" not in str(end.fields.get("error")):
        return []
    return [f"{lost[0].instance} can't read the store: {lost[0].fields.get('error')}"]


def _explain_wait(end: Line, around: list[Line], met: set[str]) -> list[str]:
    """Explain a call that got no adapter, or got it late."""
    if not _has_waited(end):
        return []
    began = end.time - end.fields.get("seconds", 0.0)
    causes = _find_ownerless(around, began)
    model = end.fields.get("model")
    results = Counter(
        line.fields.get("result")
        for line in around
        if line.name == "order" and line.fields.get("endpoint") in met
    )
    silent = results.get("unknown", 0)
    if silent:
        total = sum(results.values())
        causes.append(f"{silent} of {total} orders to its engines got no answer")
    unloads = {
        f"an unload of {line.fields.get('model')} at {line.fields['endpoint']} waited "
        "for its calls and held up the others"
        for line in around
        if began <= line.time <= end.time and _is_waiting_unload(line, met)
    }
    causes += sorted(unloads)
    for name, text in (
        ("report_failed", "{} can't be reached by its owner"),
        ("endpoint_gone", "{} ended"),
        ("endpoint_draining", "{} was draining"),
    ):
        found = {
            line.fields["endpoint"]
            for line in around
            if line.name == name and line.fields.get("endpoint") in met
        }
        causes += [text.format(endpoint) for endpoint in sorted(found)]
    denials = sum(
        line.name == "load_denied" and line.fields.get("model") == model
        for line in around
    )
    if denials:
        causes.append(f"engines were full of adapters in use: {denials} denials")
    if not causes:
        causes.append("its adapter was not loaded yet")
    return causes


def _find_ownerless(around: list[Line], began: float) -> list[str]:
    """Return the zones that had no owner when the call began, or lost it."""
    last: dict[str, Line] = {}
    causes = []
    for line in around:
        if line.name not in ("lease_gained", "lease_lost", "lease_released"):
            continue
        zone = line.fields["zone"]
        owner = last.get(zone)
        if line.name == "lease_lost" and owner and owner.instance != line.instance:
            # It learns late that another instance took the lease.
            continue
        if line.name != "lease_gained" and line.time >= began:
            causes.append(_tell_ownerless(line))
        last[zone] = line if line.time < began else last.get(zone, line)
    causes += [
        _tell_ownerless(line)
        for line in last.values()
        if line.name != "lease_gained" and line.time < began
    ]
    return list(dict.fromkeys(causes))


def _tell_ownerless(line: Line) -> str:
    return f"zone {line.fields['zone']} had no owner ({line.name} at {line.instance})"


def _has_waited(end: Line) -> bool:
    steps = [step["step"] for step in end.fields.get("steps", ())]
    return "wait" in steps or "no owner" in str(end.fields.get("error"))


def _explain_endpoints(end: Line, around: list[Line], met: set[str]) -> list[str]:
    """Explain a send that failed, by what else failed at its endpoint."""
    steps = end.fields.get("steps", ())
    failed = [step for step in steps if step["step"] in ("failed", "kept")]
    sent = [step["endpoint"] for step in steps if step["step"] == "send"]
    is_silent = end.fields.get("error") or end.fields.get("outcome") == "cancelled"
    if not sent or not (failed or is_silent):
        return []
    causes = [f"the call failed: {step['error']}" for step in failed]
    if not failed:
        causes = [f"{sent[-1]} did not answer in time"]
    for endpoint in dict.fromkeys(sent):
        others = Counter(
            str(line.fields.get("error")).partition(":")[0]
            for line in around
            if line.name == "send_failed" and line.fields.get("endpoint") == endpoint
        )
        if others:
            told = ", ".join(f"{count} {error}" for error, count in others.items())
            causes.append(f"other sends to {endpoint} failed as well: {told}")
    causes += [
        f"{line.fields['endpoint']}: {line.name}"
        for line in around
        if line.name in ("endpoint_gone", "endpoint_draining")
        and line.fields.get("endpoint") in sent
    ]
    return list(dict.fromkeys(causes))
