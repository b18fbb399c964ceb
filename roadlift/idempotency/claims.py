"""Claim an idempotency key in the table service before the request runs.

The row of a key is inserted if absent, with a unique claimant id, before any
byte is sent to an endpoint. After a lost reply the row is read, and the id
shows whose claim it is. The row is then updated, by compare-and-set, to DONE
with the answer, or to RELEASED if the request provably did not run. The
outcome of a row that stays CLAIMED is unconfirmed; its request never runs
again. Rules, by their names in the specification:

* ``claim_first``: nothing is sent before the claim is known to be held.
* ``read_back``: a claim whose reply was lost is read back, never assumed.
* ``release_unrun``: a claim is released only if nothing was sent.
"""

import base64
import hashlib
import json
from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import (
    IdempotencyInProgress,
    IdempotencyMismatch,
    IdempotencyUnavailable,
    RoadliftError,
    VersionConflict,
)
from roadlift.core.loop import Loop
from roadlift.store.client import ABSENT, Row, Store

CLAIMED = "claimed"
DONE = "done"
RELEASED = "released"
MAX_INLINE_BYTES = 16384  # Largest answer stored in the row itself, in bytes.
RETRY_INTERVAL = 1.0  # Seconds between attempts while the store is unavailable.
MAX_RETRIES = 600


class StoredAnswer(NamedTuple):
    """An answer that is replayed to a repeated request, with its full body."""

    status: int
    headers: dict[str, str]
    body: bytes


class Claim(NamedTuple):
    """A key that this claimant holds, with the version of its row."""

    key: str
    claimant: str
    fingerprint: str
    version: str


class _Record(NamedTuple):
    state: str
    claimant: str
    fingerprint: str
    status: int = 0
    headers: dict[str, str] = {}
    body: str = ""
    object: str = ""

    def encode(self) -> bytes:
        """Serialise the record to a row's value."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "_Record":
        """Parse a row's value."""
        return cls(**json.loads(value))


OnClaim = Callable[[Claim], None]
OnAnswer = Callable[[StoredAnswer], None]
OnError = Callable[[RoadliftError], None]


class _Handlers(NamedTuple):
    on_claim: OnClaim
    on_answer: OnAnswer
    on_error: OnError


def compute_key(organisation: str, key: str) -> str:
    """Return the row's key, so that keys of organisations never collide."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return f"idempotency/{digest}"


def compute_fingerprint(path: str, body: bytes) -> str:
    """Return the fingerprint that has to match when a key is used again."""
    return hashlib.sha256(path.encode() + b"\0" + body).hexdigest()


class Claims:
    """The claims of one process in the table service."""

    def __init__(self, store: Store, loop: Loop, process: str) -> None:
        self._store = store
        self._loop = loop
        self._process = process
        self._serial = 0

    def claim(
        self,
        key: str,
        fingerprint: str,
        on_claim: OnClaim,
        on_answer: OnAnswer,
        on_error: OnError,
    ) -> None:
        """Claim a key, or get its stored answer, or an error.

        ``on_error`` gets IdempotencyInProgress if the first run is in
        progress or unconfirmed, IdempotencyMismatch if the key belongs to
        another request, and IdempotencyUnavailable if the store is
        unavailable and nothing was run.
        """
        self._serial += 1
        claimant = f"{self._process}/{self._serial}"
        record = _Record(CLAIMED, claimant, fingerprint)
        handlers = _Handlers(on_claim, on_answer, on_error)
        self._insert(key, record, ABSENT, handlers)

    def store_answer(self, claim: Claim, answer: StoredAnswer) -> None:
        """Store the answer for repeats of the request."""
        record = _Record(
            DONE, claim.claimant, claim.fingerprint, answer.status, answer.headers
        )
        if len(answer.body) <= MAX_INLINE_BYTES:
            body = base64.b64encode(answer.body).decode()
            self._write_outcome(claim, record._replace(body=body), 0)
            return
        digest = hashlib.sha256(answer.body).hexdigest()

        def write_reference(_: Row) -> None:
            """Write the row with a reference to the stored object."""
            self._write_outcome(claim, record._replace(object=digest), 0)

        def fail(error: RoadliftError) -> None:
            """Retry the write of the object later."""
            self._loop.call_later(
                RETRY_INTERVAL, lambda: self.store_answer(claim, answer)
            )

        self._store.write_object(digest, answer.body, write_reference, fail)

    def release(self, claim: Claim) -> None:
        """Release a key whose request provably did not run."""
        record = _Record(RELEASED, claim.claimant, claim.fingerprint)
        self._write_outcome(claim, record, 0)

    def _insert(
        self, key: str, record: _Record, expected: str, handlers: _Handlers
    ) -> None:
        def receive(row: Row) -> None:
            """Report the new claim."""
            version = row.version
            handlers.on_claim(Claim(key, record.claimant, record.fingerprint, version))

        def fail(error: RoadliftError) -> None:
            """Read the row to see which claim it holds."""
            self._read_back(key, record, error, handlers)

        self._store.write_row(key, record.encode(), expected, receive, fail)

    def _read_back(
        self, key: str, record: _Record, cause: RoadliftError, handlers: _Handlers
    ) -> None:
        """Read which claim the row holds after a conflict or a lost reply."""

        def receive(row: Row) -> None:
            """Classify the row as read."""
            self._classify_row(key, record, row, cause, handlers)

        def fail(error: RoadliftError) -> None:
            # The claim may have been written; nothing will be sent under it.
            """Report the store as unavailable and release a possible claim."""
            self._loop.call_later(
                RETRY_INTERVAL, lambda: self._release_unconfirmed(key, record, 0)
            )
            handlers.on_error(IdempotencyUnavailable(error.detail, RETRY_INTERVAL))

        self._store.read_row(key, receive, fail)

    def _classify_row(
        self,
        key: str,
        record: _Record,
        row: Row,
        cause: RoadliftError,
        handlers: _Handlers,
    ) -> None:
        if row.version == ABSENT:
            # The write has not taken effect yet, but a delayed one still may.
            self._release_unconfirmed(key, record, 0)
            handlers.on_error(IdempotencyUnavailable(cause.detail, RETRY_INTERVAL))
            return
        found = _Record.decode(row.value)
        if found.claimant == record.claimant and found.state == CLAIMED:
            version = row.version
            handlers.on_claim(Claim(key, record.claimant, record.fingerprint, version))
        elif found.fingerprint != record.fingerprint:
            handlers.on_error(IdempotencyMismatch(key[-12:]))
        elif found.state == RELEASED and isinstance(cause, VersionConflict):
            self._insert(key, record, row.version, handlers)
        elif found.state == RELEASED:
            handlers.on_error(IdempotencyUnavailable(cause.detail, RETRY_INTERVAL))
        elif found.state == DONE:
            self._load_answer(found, handlers)
        else:
            handlers.on_error(IdempotencyInProgress(key[-12:], RETRY_INTERVAL))

    def _load_answer(self, found: _Record, handlers: _Handlers) -> None:
        def deliver(body: bytes) -> None:
            """Return the stored answer to the caller."""
            handlers.on_answer(StoredAnswer(found.status, found.headers, body))

        def fail(error: RoadliftError) -> None:
            """Report that the answer can't be read now."""
            handlers.on_error(IdempotencyUnavailable(error.detail, RETRY_INTERVAL))

        if not found.object:
            deliver(base64.b64decode(found.body))
            return
        self._store.read_object(found.object, lambda row: deliver(row.value), fail)

    def _release_unconfirmed(self, key: str, record: _Record, attempts: int) -> None:
        """Release a claim that may have been written, though nothing was sent.

        If there is no row, a released one is inserted, so that a delayed write
        of the claim conflicts with it and fails.
        """

        def receive(row: Row) -> None:
            """Release the row if it is absent or holds this claim."""
            is_held = row.version == ABSENT
            if not is_held:
                found = _Record.decode(row.value)
                is_held = found.claimant == record.claimant and found.state == CLAIMED
            if is_held:
                released = record._replace(state=RELEASED).encode()
                self._store.write_row(key, released, row.version, _ignore, fail)

        def fail(_: RoadliftError) -> None:
            """Retry later."""
            if attempts < MAX_RETRIES:
                self._loop.call_later(
                    RETRY_INTERVAL,
                    lambda: self._release_unconfirmed(key, record, attempts + 1),
                )

        self._store.read_row(key, receive, fail)

    def _write_outcome(self, claim: Claim, record: _Record, attempts: int) -> None:
        """Update the claim's row; after a lost reply repeat the same write.

        Only the holder of the claim writes its row, so a conflict means that
        an earlier attempt of the same write took effect.
        """

        def fail(error: RoadliftError) -> None:
            """Repeat the write, unless it took effect."""
            if isinstance(error, VersionConflict) or attempts >= MAX_RETRIES:
                return
            self._loop.call_later(
                RETRY_INTERVAL, lambda: self._write_outcome(claim, record, attempts + 1)
            )

        self._store.write_row(claim.key, record.encode(), claim.version, _ignore, fail)


def _ignore(_: Row) -> None:
    """Ignore a row whose content is not needed."""
