"""Support OpenAI-compatible engines that load adapters at run time.

The public endpoints used are ``/v1/load_lora_adapter``,
``/v1/unload_lora_adapter``, ``/v1/models``, ``/metrics`` in the Prometheus
text format and the completions. Fencing numbers are sent in a header, which
an engine that does not support them ignores. An engine that can resume a
stream gives the path for it in a header; the request to resume carries the
``Last-Event-ID`` that server-sent events define.
"""

import json

from roadlift.core.errors import (
    EndpointFailed,
    InvalidRequest,
    PlatformUnavailable,
    RefusedByEndpoint,
    RoadliftError,
)
from roadlift.endpoints.api import EngineLoad, engine_apis
from roadlift.ownership.orders import LOAD, Order, OrderResult
from roadlift.policy.loads import PRIORITY_RANKS
from roadlift.relay.upstream import Answer, Request

FENCE_HEADER = "X-Fencing-Number"
RESUME_HEADER = "x-resume-path"
_JSON = {"Content-Type": "application/json"}
_GAUGES = {
    "process_start_time_seconds": "incarnation",
    "vllm:num_requests_running": "running",
    "vllm:num_requests_waiting": "waiting",
}


@engine_apis.register("openai")
class OpenAiEngine:
    """The public protocol of OpenAI-compatible engines with adapters."""

    def build_order(self, order: Order, path: str) -> Request:
        """Return the request for a load or unload order."""
        headers = {**_JSON, FENCE_HEADER: str(order.fence)}
        if order.verb == LOAD:
            body = {"lora_name": order.copy, "lora_path": path}
            target = "/v1/load_lora_adapter"
        else:
            body = {"lora_name": order.copy}
            target = "/v1/unload_lora_adapter"
        return Request("POST", target, headers, json.dumps(body).encode())

    def classify_order(self, order: Order, answer: Answer) -> OrderResult:
        """Return the result of an order from its answer."""
        if answer.status == 200:
            return OrderResult.DONE
        if answer.status == 409:
            return OrderResult.FENCED
        if 400 <= answer.status < 500:
            return OrderResult.REFUSED
        return OrderResult.REFUSED if order.verb == LOAD else OrderResult.UNKNOWN

    def build_fence(self, fence: int) -> Request:
        """Return an order to unload nothing that raises the fencing number."""
        headers = {**_JSON, FENCE_HEADER: str(fence)}
        body = json.dumps({"lora_name": ""}).encode()
        return Request("POST", "/v1/unload_lora_adapter", headers, body)

    def read_fence(self, answer: Answer) -> int:
        """Return the fencing number in a refusal, or 0."""
        text = answer.headers.get(FENCE_HEADER.lower(), "0")
        return int(text) if text.isdecimal() else 0

    def build_list(self) -> Request:
        """Return the request that lists the loaded copies."""
        return Request("GET", "/v1/models")

    def read_list(self, answer: Answer) -> list[str]:
        """Return the names of the loaded copies."""
        content = _read_json(answer)
        return [str(model["id"]) for model in content["data"]]

    def build_load_report(self) -> Request:
        """Return the request for the load report."""
        return Request("GET", "/metrics")

    def read_load_report(self, answer: Answer) -> EngineLoad:
        """Parse the gauges from the Prometheus text format.

        Each of its lines ends with a line feed; a report without the last one
        was broken off, and a shortened number would be another one.
        """
        if not answer.body.endswith(b"\n"):
            raise EndpointFailed("the load report was broken off")
        found = {"incarnation": "", "running": 0.0, "waiting": 0.0}
        for line in answer.body.decode("utf-8", "replace").splitlines():
            name, _, value = line.partition(" ")
            gauge = _GAUGES.get(name.partition("{")[0])
            if gauge == "incarnation":
                found[gauge] = value
            elif gauge:
                found[gauge] += float(value)
        return EngineLoad(
            found["incarnation"], int(found["running"]), int(found["waiting"])
        )

    def build_run(self, path: str, body: dict, copy: str, priority: str) -> Request:
        """Return the caller's call with the copy as its model."""
        content = {**body, "model": copy, "priority": PRIORITY_RANKS[priority]}
        return Request("POST", path, _JSON, json.dumps(content).encode())

    def classify_refusal(self, status: int, body: bytes) -> RoadliftError:
        """Return what an answer with an error status means for the run.

        An unknown model name (404) and a full queue (429) are refusals before
        the run.
        """
        detail = f"status {status}: {body[:200].decode('utf-8', 'replace')}"
        if status in (404, 429):
            return RefusedByEndpoint(detail)
        if 400 <= status < 500:
            return InvalidRequest(detail)
        return EndpointFailed(detail)

    def build_resume(self, headers: dict[str, str], last_id: str) -> Request | None:
        """Return the request to resume the stream after event ``last_id``."""
        path = headers.get(RESUME_HEADER)
        if not path or not last_id:
            return None
        return Request("GET", path, {"Last-Event-ID": last_id})


def _read_json(answer: Answer) -> dict:
    if answer.status != 200:
        raise PlatformUnavailable(f"engine answered with status {answer.status}")
    return json.loads(answer.body)
