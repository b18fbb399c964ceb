"""Weigh the evidence against one call, load or part of prompts.

Each piece is a crash of an endpoint, with a weight and a time. A record is
refused once the weights that count reach a threshold, for longer after each
further crash.
"""

from typing import NamedTuple

# Weights of evidence. A call that crashes its engine has received the head of
# an answer but no event; most other calls have received events. A call that
# was only sent, or that had received events, may still be the cause.
STRONG = 3
WEAK = 2
REDUCED = 1  # Weight of weak evidence if the same crash has strong evidence.
# Marks evidence against a part of prompts, and its weight: a third crash
# reaches the threshold.
SHARED = 1
SHARED_WEIGHT = 2
PART_CRASHES = 3
# Seconds that evidence against a part has to stand until the part is refused:
# calls that share it have survived, or have been refuted, by then.
STANDING_TIME = 0.6
# Total weight from which a call is refused: two strong pieces of evidence, or
# three of any kind, each from another endpoint. A call that is not the cause
# would have to be repeated twice and start on a crashing endpoint each time.
REFUSAL_THRESHOLD = 6
# Seconds of a refusal after the second crash, ten times as long after each
# further one. Refusals expire because the endpoints' software may have been
# fixed.
FIRST_REFUSAL = 60.0
REFUSAL_GROWTH = 10.0
MAX_REFUSAL = 3600.0
# Seconds that evidence is kept after the last crash or the end of the refusal.
RETENTION = 600.0
# Seconds between two crashes under a part that count both: a call crashes one
# endpoint, and the next such call comes later.
MIN_SPACING = 0.1
# Seconds of the refusal of a part after the third crash, ten times as long
# after each further one.
FIRST_PART_REFUSAL = 10.0
# Seconds at most. Each trial may crash one more endpoint, and few are allowed
# in all; an operator readmits a part whose cause was mended sooner.
MAX_PART_REFUSAL = 86_400.0
# Seconds that evidence against a part is kept unless the part is refused: a
# part of rare calls is not refuted by others, and has no others to share it.
PART_RETENTION = 3600.0
REFUTED_RETENTION = 30.0  # Seconds for refuted evidence, until all know that.
# Seconds after which evidence that was not refuted is compared with that of
# other instances; most is refuted within a second.
LASTING_TIME = 5.0


class CrashEvidence(NamedTuple):
    """An endpoint crashed while it ran a call, ``age`` seconds ago.

    ``identity`` identifies the call's work, ``endpoint`` one run of an
    endpoint. A ``weight`` of 0 means that the call was not the cause.
    """

    identity: bytes
    endpoint: str
    weight: int
    age: float


class Causes(NamedTuple):
    """Endpoints whose crash has strong evidence, or a confirmed cause.

    Those that are ``explained`` crashed under a part of prompts.
    """

    suspected: set[str]
    confirmed: set[str]
    explained: set[str]

    def compute_weight(self, endpoint: str, weight: int) -> int:
        """Return the weight with which a piece of evidence counts."""
        if endpoint in self.explained:
            return 0
        if weight != WEAK or endpoint not in self.suspected:
            return weight
        return 0 if endpoint in self.confirmed else REDUCED


class CrashRecord:
    """The evidence against one call or part: weights and times, by endpoint.

    ``causes`` is shared by all records. One of a part that ``has_stood`` has
    not been cleared in the time that this takes; one that ``has_lasted`` is
    compared with other instances.
    """

    __slots__ = ("causes", "evidence", "has_lasted", "has_stood", "is_part")

    def __init__(self, causes: Causes) -> None:
        self.evidence: dict[str, tuple[int, float]] = {}
        self.causes = causes
        self.is_part = False
        self.has_stood = False
        self.has_lasted = False

    def _list_weights(self) -> list[int]:
        """Return the weights above 0 that count, one for each crash."""
        if self.is_part:
            return [SHARED_WEIGHT] * self._count_spaced()
        found = [
            self.causes.compute_weight(endpoint, weight)
            for endpoint, (weight, _) in self.evidence.items()
        ]
        return [weight for weight in found if weight]

    def _count_spaced(self) -> int:
        """Return the number of crashes that are not at the same moment."""
        count, last = 0, float("-inf")
        for at in sorted(at for weight, at in self.evidence.values() if weight):
            if at - last >= MIN_SPACING:
                count, last = count + 1, at
        return count

    @property
    def is_confirmed(self) -> bool:
        """Return whether the unreduced weights reach the threshold."""
        return sum(weight for weight, _ in self.evidence.values()) >= REFUSAL_THRESHOLD

    @property
    def weight(self) -> int:
        """Return the total weight of the evidence that counts."""
        return sum(self._list_weights())

    @property
    def is_refused(self) -> bool:
        """Return whether the evidence that counts reaches the threshold."""
        is_open = self.is_part and not self.has_stood
        return not is_open and self.weight >= REFUSAL_THRESHOLD

    @property
    def crash_count(self) -> int:
        """Return the number of crashes that count."""
        return len(self._list_weights())

    def list_crashes(self) -> set[str]:
        """Return the endpoints with evidence that has not been cleared."""
        return {name for name, (weight, _) in self.evidence.items() if weight}

    def stand(self, now: float) -> bool:
        """Return whether a part is refused from now on."""
        if not self.is_part or self.has_stood or self.weight < REFUSAL_THRESHOLD:
            return False
        first = min(at for weight, at in self.evidence.values() if weight)
        self.has_stood = now - first >= STANDING_TIME
        return self.has_stood

    def update_lasting(self, now: float) -> bool:
        """Update whether open evidence has lasted; return whether new."""
        had_lasted = self.has_lasted
        age = now - self.find_last_crash()
        self.has_lasted = bool(self.weight) and age >= LASTING_TIME
        return self.has_lasted != had_lasted

    def compute_retention(self) -> float:
        """Return the seconds that the record is kept after the last crash."""
        if self.is_part and not self.is_refused:
            return PART_RETENTION if self.weight else REFUTED_RETENTION
        return self.compute_refusal() + RETENTION

    def list_strong(self) -> list[str]:
        """Return the endpoints with strong evidence."""
        return [name for name, (weight, _) in self.evidence.items() if weight >= STRONG]

    def list_explained(self) -> set[str]:
        """Return the endpoints whose crashes this work explains to others."""
        if self.is_part:
            return self.list_crashes() if self.is_refused else set()
        return set(self.list_strong()) if self.is_confirmed else set()

    def compute_refusal(self) -> float:
        """Return the seconds of the refusal after the last crash."""
        if not self.is_refused:
            return 0.0
        if self.is_part:
            further = self.crash_count - PART_CRASHES
            return min(MAX_PART_REFUSAL, FIRST_PART_REFUSAL * REFUSAL_GROWTH**further)
        return min(
            MAX_REFUSAL, FIRST_REFUSAL * REFUSAL_GROWTH ** (self.crash_count - 2)
        )

    def find_last_crash(self) -> float:
        """Return the time of the last crash."""
        return max(at for _, at in self.evidence.values())
