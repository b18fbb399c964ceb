"""Store the pins that this process holds on copies at endpoints.

A request is sent to a copy only under a pin, and a pin is released only when
no request runs under it. It is kept for some seconds after the last request,
so that the next requests for the adapter cost no message. Rules, by their
names in the specification:

* ``send_pinned``: a request is sent only under a pin that is held.
* ``return_idle``: a pin is released only while no request runs under it.
* ``accept_asked``: a grant is accepted only for a pin request that is still
  open, once, before its deadline, and not from an epoch earlier than one
  whose census was answered.
"""

from typing import NamedTuple

from roadlift.ownership.messages import Census, Count, Grant, Release, Report

MIN_USES_TO_KEEP = 2  # Requests that a pin must have served to be kept idle.


class HeldPin:
    """A pin on ``copy`` at ``endpoint``.

    ``running`` requests use it now and ``started_count`` have used it in all.
    ``uses`` counts those since the last report, without the request that the
    grant was for. A ``recalled`` pin accepts no new request.
    """

    __slots__ = (
        "endpoint", "copy", "model", "nonce", "running", "uses", "started_count",
        "idle_since", "recalled",
    )  # fmt: skip

    def __init__(self, grant: Grant, model: str, now: float) -> None:
        self.endpoint = grant.endpoint
        self.copy = grant.copy
        self.model = model
        self.nonce = grant.nonce
        self.running = 0
        self.uses = 0
        self.started_count = 0
        self.idle_since = now
        self.recalled = False


class _PinRequest(NamedTuple):
    endpoint: str
    model: str
    deadline: float


class PinTable:
    """The pins and open pin requests of one process.

    An idle pin is kept for ``keep`` seconds if at least ``min_uses_to_keep``
    requests ran under it.
    """

    def __init__(
        self, keep: float = 5.0, min_uses_to_keep: int = MIN_USES_TO_KEEP
    ) -> None:
        self._keep = keep
        self._min_uses_to_keep = min_uses_to_keep
        self._pins: dict[tuple[str, str], HeldPin] = {}
        self._models: dict[str, list[HeldPin]] = {}
        self._requests: dict[int, _PinRequest] = {}
        self._epochs: dict[str, int] = {}
        self._requested: set[str] = set()
        self._nonce = 0
        self._serial = 0

    def open_request(self, endpoint: str, model: str, deadline: float) -> int:
        """Open a pin request and return its nonce."""
        self._nonce += 1
        self._requests[self._nonce] = _PinRequest(endpoint, model, deadline)
        self._requested.add(endpoint)
        return self._nonce

    def cancel(self, nonce: int) -> None:
        """Close a pin request; a later grant for it is not accepted."""
        self._requests.pop(nonce, None)

    def accept(self, grant: Grant, now: float) -> HeldPin | None:
        """Accept a grant and return its pin; None if it must not be used."""
        request = self._requests.pop(grant.nonce, None)
        if request is None or request.endpoint != grant.endpoint:
            return None
        if now >= request.deadline or grant.epoch < self._epochs.get(grant.endpoint, 0):
            return None
        key = (grant.endpoint, grant.copy)
        pin = self._pins.get(key)
        if pin is None:
            pin = self._pins[key] = HeldPin(grant, request.model, now)
            self._models.setdefault(pin.model, []).append(pin)
        pin.nonce = max(pin.nonce, grant.nonce)
        return pin

    def find(self, model: str) -> list[HeldPin]:
        """Return the pins under which requests for ``model`` may be sent."""
        return [pin for pin in self._models.get(model, ()) if not pin.recalled]

    def begin(self, pin: HeldPin) -> bool:
        """Count a request as running; return False if the pin is not held."""
        if self._pins.get((pin.endpoint, pin.copy)) is not pin:
            return False
        pin.running += 1
        if pin.started_count:
            # The owner counted the first request with its grant.
            pin.uses += 1
        pin.started_count += 1
        return True

    def end(self, pin: HeldPin, now: float) -> Release | None:
        """Count a request as ended; return the release of an unneeded pin.

        By default a pin under which only one request ever ran is released at
        once: keeping it would save no message and occupy an adapter slot.
        """
        pin.running -= 1
        pin.idle_since = now
        is_spent = pin.recalled or pin.started_count < self._min_uses_to_keep
        if is_spent and not pin.running:
            return self._release_pin(pin)
        return None

    def recall(self, endpoint: str, copy: str) -> Release | None:
        """Admit no new request under a pin; release it once it is idle."""
        pin = self._pins.get((endpoint, copy))
        if pin is None:
            return None
        pin.recalled = True
        return None if pin.running else self._release_pin(pin)

    def drop(self, pin: HeldPin) -> None:
        """Stop using a pin, as the endpoint refused the name of its copy."""
        pin.recalled = True

    def return_idle(self, now: float) -> list[Release]:
        """Release the pins that have been idle for the keep time."""
        idle = [
            pin
            for pin in self._pins.values()
            if not pin.running and now - pin.idle_since >= self._keep
        ]
        return [self._release_pin(pin) for pin in idle]

    def count(self, census: Census, yielded: list[int]) -> Count | None:
        """Answer a census; reject grants of earlier epochs from then on."""
        if census.epoch < self._epochs.get(census.endpoint, 0):
            return None
        self._epochs[census.endpoint] = census.epoch
        pins = self._list_pins(census.endpoint)
        return Count(census.endpoint, census.epoch, pins, yielded)

    def get_epoch(self, endpoint: str) -> int:
        """Return the highest epoch whose census was answered, or 0."""
        return self._epochs.get(endpoint, 0)

    def report(self, endpoint: str) -> Report:
        """Return the report for an endpoint's owner, and reset the uses."""
        self._serial += 1
        lowest_open_nonce = min(self._requests, default=self._nonce + 1)
        report = Report(
            endpoint, self._serial, lowest_open_nonce, self._list_pins(endpoint)
        )
        for pin in self._pins.values():
            if pin.endpoint == endpoint:
                pin.uses = 0
        return report

    def list_reports(self) -> list[Report]:
        """Return a report for each endpoint with a pin or a recent request.

        An endpoint whose pin was requested since the last call gets a report
        too, so that the owner does not keep a grant for ever that was lost on
        its way here.
        """
        pinned = {endpoint for endpoint, _ in self._pins}
        due = sorted(pinned | self._requested)
        self._requested = {request.endpoint for request in self._requests.values()}
        return [self.report(endpoint) for endpoint in due]

    def count_pins(self) -> int:
        """Return the number of pins held."""
        return len(self._pins)

    def count_running(self, endpoint: str) -> int:
        """Return the number of local running requests at an endpoint."""
        return sum(p.running for p in self._pins.values() if p.endpoint == endpoint)

    def _list_pins(self, endpoint: str) -> list[list]:
        return [
            [pin.copy, pin.nonce, pin.running, pin.uses]
            for pin in self._pins.values()
            if pin.endpoint == endpoint
        ]

    def _release_pin(self, pin: HeldPin) -> Release:
        del self._pins[(pin.endpoint, pin.copy)]
        pins = self._models[pin.model]
        pins.remove(pin)
        if not pins:
            del self._models[pin.model]
        return Release(pin.endpoint, pin.copy, pin.nonce)
