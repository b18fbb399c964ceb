"""Describe a caller's call once an ingress has read it."""

import enum
from collections.abc import Mapping
from typing import NamedTuple


class Kind(enum.StrEnum):
    """What a call's answer is, and whether the call may run twice.

    A STREAM is idempotent only where its route says it is resumable.
    """

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not_idempotent"
    STREAM = "stream"


class Model(NamedTuple):
    """A base model, with an adapter over it or (empty) without one."""

    base: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.base}/{self.adapter}" if self.adapter else self.base


class PromptPart(NamedTuple):
    """A part of a prompt that calls share, by its id, and its tokens."""

    id: str
    tokens: int


class Call(NamedTuple):
    """What a caller asks for.

    ``id`` is unlike that of every other call, also of the same caller's own
    retries; ``headers`` are those to pass on; ``time_limit`` is how long the
    caller waits, in seconds from the call's arrival, or None;
    ``resume_after`` is the last event that the caller has of a cut stream;
    ``key`` is the digest of the caller's key, or empty.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Mapping[str, str]
    body: bytes
    time_limit: float | None = None
    model: Model | None = None
    prompt: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    resume_after: str = ""
    key: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]
