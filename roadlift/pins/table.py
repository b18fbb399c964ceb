"""Keep the pins that this process holds on copies at endpoints.

A request is sent to a copy only under a pin, and a pin is given back only
when no request runs under it. It is kept for some seconds after the last
one, so that the next requests of an adapter cost no message. Rules, by the
specification's names:

* ``send_pinned``: a request is sent only under a pin that is held.
* ``return_idle``: a pin is given back only while nothing runs under it.
* ``accept_asked``: a grant is taken only for an asking that is still open,
  once, within its time, and not from an epoch before one that was counted.
"""

from typing import NamedTuple

from roadlift.ownership.messages import Census, Count, Grant, Release, Report

WORTH_KEEPING = 2  # Requests that a pin must have served to be kept idle.


class HeldPin:
    """A pin on ``copy`` at ``endpoint``; ``running`` requests use it."""

    __slots__ = (
        "endpoint", "copy", "model", "nonce", "running", "uses", "begun",
        "idle_since", "recalled",
    )  # fmt: skip

    def __init__(self, grant: Grant, model: str, now: float) -> None:
        self.endpoint = grant.endpoint
        self.copy = grant.copy
        self.model = model
        self.nonce = grant.nonce
        self.running = 0
        self.uses = 0
        self.begun = 0
        self.idle_since = now
        self.recalled = False


class _Asking(NamedTuple):
    endpoint: str
    model: str
    deadline: float


class PinTable:
    """The pins and open askings of one process.

    An idle pin is kept for ``keep`` seconds if at least ``worth_keeping``
    requests ran under it.
    """

    def __init__(self, keep: float = 5.0, worth_keeping: int = WORTH_KEEPING) -> None:
        self._keep = keep
        self._worth_keeping = worth_keeping
        self._pins: dict[tuple[str, str], HeldPin] = {}
        self._models: dict[str, list[HeldPin]] = {}
        self._askings: dict[int, _Asking] = {}
        self._epochs: dict[str, int] = {}
        self._asked: set[str] = set()
        self._nonce = 0
        self._serial = 0

    def ask(self, endpoint: str, model: str, deadline: float) -> int:
        """Open an asking and return its nonce."""
        self._nonce += 1
        self._askings[self._nonce] = _Asking(endpoint, model, deadline)
        self._asked.add(endpoint)
        return self._nonce

    def cancel(self, nonce: int) -> None:
        """Close an asking; a grant to it won't be taken."""
        self._askings.pop(nonce, None)

    def accept(self, grant: Grant, now: float) -> HeldPin | None:
        """Take a grant; None means that it must not be used."""
        asking = self._askings.pop(grant.nonce, None)
        if asking is None or asking.endpoint != grant.endpoint:
            return None
        if now >= asking.deadline or grant.epoch < self._epochs.get(grant.endpoint, 0):
            return None
        key = (grant.endpoint, grant.copy)
        pin = self._pins.get(key)
        if pin is None:
            pin = self._pins[key] = HeldPin(grant, asking.model, now)
            self._models.setdefault(pin.model, []).append(pin)
        pin.nonce = max(pin.nonce, grant.nonce)
        return pin

    def find(self, model: str) -> list[HeldPin]:
        """Return the pins under which ``model`` may be sent."""
        return [pin for pin in self._models.get(model, ()) if not pin.recalled]

    def begin(self, pin: HeldPin) -> bool:
        """Count a request as running; False where the pin is gone."""
        if self._pins.get((pin.endpoint, pin.copy)) is not pin:
            return False
        pin.running += 1
        if pin.begun:
            # The owner has counted the first one with its grant.
            pin.uses += 1
        pin.begun += 1
        return True

    def end(self, pin: HeldPin, now: float) -> Release | None:
        """Count a request as over; a pin of no more use is given back.

        A pin under which only one request ever ran is given back at once:
        keeping it would save no message and hold a slot.
        """
        pin.running -= 1
        pin.idle_since = now
        is_spent = pin.recalled or pin.begun < self._worth_keeping
        if is_spent and not pin.running:
            return self._give_back(pin)
        return None

    def recall(self, endpoint: str, copy: str) -> Release | None:
        """Take no new request under a pin; give it back once idle."""
        pin = self._pins.get((endpoint, copy))
        if pin is None:
            return None
        pin.recalled = True
        return None if pin.running else self._give_back(pin)

    def drop(self, pin: HeldPin) -> None:
        """Use a pin no more, as the endpoint refused its copy by name."""
        pin.recalled = True

    def return_idle(self, now: float) -> list[Release]:
        """Give back the pins that were idle for the time to keep them."""
        idle = [
            pin
            for pin in self._pins.values()
            if not pin.running and now - pin.idle_since >= self._keep
        ]
        return [self._give_back(pin) for pin in idle]

    def count(self, census: Census, yielded: list[int]) -> Count | None:
        """Answer a census; from now on no older grant is taken."""
        if census.epoch < self._epochs.get(census.endpoint, 0):
            return None
        self._epochs[census.endpoint] = census.epoch
        pins = self._list_pins(census.endpoint)
        return Count(census.endpoint, census.epoch, pins, yielded)

    def get_epoch(self, endpoint: str) -> int:
        """Return the highest epoch whose census was answered, or 0."""
        return self._epochs.get(endpoint, 0)

    def report(self, endpoint: str) -> Report:
        """Return the report to the owner of ``endpoint``."""
        self._serial += 1
        floor = min(self._askings, default=self._nonce + 1)
        report = Report(endpoint, self._serial, floor, self._list_pins(endpoint))
        for pin in self._pins.values():
            if pin.endpoint == endpoint:
                pin.uses = 0
        return report

    def list_reports(self) -> list[Report]:
        """Return a report for each endpoint that was asked or is pinned.

        An endpoint gets one report more after its last pin, so that a grant
        which was lost on its way is not held for ever.
        """
        pinned = {endpoint for endpoint, _ in self._pins}
        due = sorted(pinned | self._asked)
        self._asked = {asking.endpoint for asking in self._askings.values()}
        return [self.report(endpoint) for endpoint in due]

    def count_pins(self) -> int:
        """Return how many pins are held."""
        return len(self._pins)

    def count_running(self, endpoint: str) -> int:
        """Return this process's running requests at an endpoint."""
        return sum(p.running for p in self._pins.values() if p.endpoint == endpoint)

    def _list_pins(self, endpoint: str) -> list[list]:
        return [
            [pin.copy, pin.nonce, pin.running, pin.uses]
            for pin in self._pins.values()
            if pin.endpoint == endpoint
        ]

    def _give_back(self, pin: HeldPin) -> Release:
        del self._pins[(pin.endpoint, pin.copy)]
        pins = self._models[pin.model]
        pins.remove(pin)
        if not pins:
            del self._models[pin.model]
        return Release(pin.endpoint, pin.copy, pin.nonce)
