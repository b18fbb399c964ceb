"""Estimate when a request that is still being read will be complete.

Load pattern: callers upload at their own pace while their instance drains.
Some would be complete and served well before its end; a process must not wait
for the others, which are refused as not run while they can still be sent to
another instance.
"""

from typing import NamedTuple

# Seconds for which an upload is observed before its pace is judged: a head
# often arrives some time before the first bytes of its body.
MIN_OBSERVATION = 0.5
MAX_SILENCE = 1.0  # Seconds without a byte after which an upload has stalled.


class Upload(NamedTuple):
    """A request that is being read; times are in seconds, sizes in bytes.

    ``missing`` is None as long as the length of the request is unknown.
    """

    began_at: float
    last_byte_at: float
    received: int
    missing: int | None

    def add(self, now: float, received: int, missing: int | None) -> "Upload":
        """Return the upload after some more bytes were received."""
        return Upload(self.began_at, now, self.received + received, missing)


def estimate_remaining_time(upload: Upload, now: float) -> float:
    """Return the seconds until an upload is complete, at its pace so far.

    One of unknown length is expected to take as long again as it has taken.
    """
    elapsed = now - upload.began_at
    if upload.missing is None:
        return elapsed
    return elapsed * upload.missing / max(1, upload.received)


def can_complete(upload: Upload, now: float, seconds: float) -> bool:
    """Return whether an upload is likely to be complete within ``seconds``."""
    if now - upload.last_byte_at > MAX_SILENCE:
        return False
    if now - upload.began_at < MIN_OBSERVATION:
        return seconds > 0
    return estimate_remaining_time(upload, now) <= seconds
