"""Hold the keys of the soak's organisations, and check how they are kept to.

What ran at the runners is compared with the keys that callers sent: one that
was never held, or was revoked too long before, runs nothing anywhere, and an
organisation with an allowance gets no more than that over all instances.
"""

import random
from bisect import bisect_right
from collections import Counter
from typing import NamedTuple

from roadlift.core.clock import Clock
from tests.support.configuration import make_tenant

RATE, BURST = 25.0, 10.0  # The allowance of the first, in calls, a second.
OVER, SLACK, WINDOW = 0.1, 20.0, 8.0  # By how much it may be passed.
REVOKE_LIMIT = 5.0  # Seconds from a key's revocation to its last run at most.
SETTINGS = {
    "revoke_ms": str(int(REVOKE_LIMIT * 1000)),
    "allowance_over": str(OVER),
    "allowance_slack": str(SLACK),
    "allowance_window": str(WINDOW),
}
SAFE = "blue"  # The organisation whose key stays as it is.
_SHARES = {"red": 5, SAFE: 3, "green": 3}
_FORMER_PART = 0.05  # Part of the calls that come with a key revoked before.
_UNKNOWN_PART = 0.02  # Part of them whose key nobody ever held.


class Breach(NamedTuple):
    """A rule that was broken, and how."""

    rule: str
    detail: str


class _Sent(NamedTuple):
    """With whose key a call was sent, empty for nobody's, and when."""

    organisation: str
    key: str
    at: float


class KeyRing:
    """The organisations, their keys by now and before, and who sent what."""

    def __init__(self, draw: random.Random, clock: Clock) -> None:
        self._draw = draw
        self._clock = clock
        self._keys = {name: f"{name}-key-0" for name in _SHARES}
        self._former: list[tuple[str, str]] = []
        self._revoked_at: dict[str, float] = {}
        self._sent: dict[str, _Sent] = {}

    def describe(self) -> list[dict]:
        """Return the organisations as the operator writes them."""
        limits = {"red": {"ratePerS": RATE, "burst": BURST, "unit": "request"}}
        return [
            make_tenant(name, [key], **limits.get(name, {}))
            for name, key in self._keys.items()
        ]

    def pick(self, call_id: str) -> str:
        """Return the key that a call is sent with."""
        names, weights = zip(*_SHARES.items(), strict=True)
        name = self._draw.choices(names, weights)[0]
        key = self._keys[name]
        luck = self._draw.random()
        if luck < _UNKNOWN_PART:
            name, key = "", f"unknown-{call_id}"
        elif luck < _UNKNOWN_PART + _FORMER_PART and self._former:
            name, key = self._draw.choice(self._former)
        self._sent[call_id] = _Sent(name, key, self._clock.now())
        return key

    def note_former(self, call_id: str, key: str) -> None:
        """Learn that a call is sent with a key that was revoked."""
        name = next(name for name, old in self._former if old == key)
        self._sent[call_id] = _Sent(name, key, self._clock.now())

    def get_safe(self, call_id: str) -> str:
        """Return the key of a call that is always let in."""
        key = self._keys[SAFE]
        self._sent[call_id] = _Sent(SAFE, key, self._clock.now())
        return key

    def replace(self) -> str:
        """Give an organisation another key; return the one that it had."""
        name = self._draw.choice([one for one in _SHARES if one != SAFE])
        old = self._keys[name]
        self._keys[name] = f"{name}-key-{len(self._former) + 1}"
        self._former.append((name, old))
        return old

    def note_revoked(self, key: str) -> None:
        """Learn that the store has the configuration without a key."""
        self._revoked_at[key] = self._clock.now()

    def check(self, runs: list[dict]) -> list[Breach]:
        """Return what the runners should not have run."""
        found = [breach for run in runs for breach in self._check_run(run)]
        return found + self._check_allowance(runs)

    def _check_run(self, run: dict) -> list[Breach]:
        sent = self._sent.get(run["id"])
        if sent is None:
            return []
        found = []
        if run["has_key"]:
            found.append(Breach("key_passed_on", run["id"]))
        if run["organisation"] != sent.organisation:
            told = f"{run['id']}: {run['organisation']} for {sent.organisation}"
            found.append(Breach("wrong_organisation", told))
        after = sent.at - self._revoked_at.get(sent.key, float("inf"))
        if after > REVOKE_LIMIT:
            found.append(Breach("revoked_run", f"{run['id']} {after:.2f} s"))
        return found

    def _check_allowance(self, runs: list[dict]) -> list[Breach]:
        """Look at each window that ends with a run of the first."""
        times = sorted(run["at"] for run in runs if run["organisation"] == "red")
        most = (RATE * WINDOW + BURST) * (1.0 + OVER) + SLACK
        counts = Counter(
            {at: i + 1 - bisect_right(times, at - WINDOW) for i, at in enumerate(times)}
        )
        return [
            Breach("over_allowance", f"{count} of {most:.0f} up to {at:.1f}")
            for at, count in counts.items()
            if count > most
        ]
