"""Define a caller's call as an ingress has parsed it."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

LARGE_BODY = 4096  # Bytes of a body that is not kept behind its call's end.


class Kind(enum.StrEnum):
    """The kind of a call's answer, and whether the call may run twice.

    A STREAM is idempotent only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not_idempotent"
    STREAM = "stream"


class Model(NamedTuple):
    """A base model with an adapter; ``adapter`` is empty for none."""

    base: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.base}/{self.adapter}" if self.adapter else self.base


class PromptPart(NamedTuple):
    """A part of a prompt that calls may share: its id and token count."""

    id: str
    tokens: int


class Call(NamedTuple):
    """A caller's request.

    ``id`` is unique to each call, also among the same caller's retries;
    ``headers`` are those to forward; ``time_limit`` is how long the caller
    waits, in seconds from the call's arrival, or None; ``resume_after`` is
    the last event that the caller received of an interrupted stream, and
    ``resumes`` the id of the call that brought its first event, or empty;
    ``key`` is the digest of the caller's key, or empty. One that
    ``is_forwarded`` comes from another instance, of whose sends ``runs`` may
    have run.
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
    is_forwarded: bool = False
    runs: int = 0
    resumes: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def drop_body(self) -> "Call":
        """Return the call without its body, unless that is small."""
        if len(self.body) < LARGE_BODY:
            return self
        return self._replace(body=b"")
