"""Hold the state of an engine's stand-in, apart from how it is reached.

An engine evicts whatever it is told to, also while requests run, and notes
that in its journal. It says what its weights say: an answer's text names the
path that was loaded, so that a mix-up shows.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

LOAD_PATH = "/v1/load_lora_adapter"
UNLOAD_PATH = "/v1/unload_lora_adapter"
FENCE_HEADER = "X-Fencing-Number"


class Verdict(NamedTuple):
    """What an engine answers to an order."""

    status: int
    headers: dict[str, str] = {}


class EngineState:
    """Copies, runs, the fencing number and the journal."""

    def __init__(self, slots: int, fences: bool, now: Callable[[], float]) -> None:
        self.slots = slots
        self.fences = fences
        self.faults = {"fail_loads": 0, "cut_streams": 0, "lose_order_replies": 0}
        self.journal: list[dict] = []
        self.runs: dict[int, str] = {}
        self._now = now
        self._serial = itertools.count(1)
        self.restart()

    def restart(self) -> None:
        """Lose every copy and run, as after a crash."""
        self.started_at = self._now()
        self.copies: dict[str, str] = {}
        self.loading: set[str] = set()
        self.runs.clear()
        self.fence = 0
        self.note("restart")

    def note(self, kind: str, **values: object) -> None:
        """Add to the journal."""
        self.journal.append({"kind": kind, "at": self._now(), **values})

    def count(self, kind: str) -> int:
        """Return how often a kind stands in the journal."""
        return sum(entry["kind"] == kind for entry in self.journal)

    def take_fault(self, name: str) -> bool:
        """Tell whether a fault is due, and count it down."""
        if self.faults.get(name, 0) <= 0:
            return False
        self.faults[name] -= 1
        return True

    def check_fence(self, headers: dict[str, str]) -> Verdict | None:
        """Refuse an order with an old number, where the engine compares."""
        fence = int(headers.get(FENCE_HEADER.lower(), 0))
        if not self.fences:
            return None
        if fence < self.fence:
            self.note("fenced", fence=fence)
            return Verdict(409, {FENCE_HEADER: str(self.fence)})
        self.fence = fence
        return None

    def begin_load(self, name: str) -> bool:
        """Take a slot for a load; False means that none is free."""
        if len(self.copies) + len(self.loading) >= self.slots:
            return False
        self.loading.add(name)
        return True

    def finish_load(self, name: str, path: str, began: float) -> bool:
        """End a load that began under the start ``began``."""
        if began != self.started_at:
            return False
        self.loading.discard(name)
        if self.take_fault("fail_loads"):
            self.note("load_failed", copy=name)
            return False
        self.copies[name] = path
        self.note("load", copy=name, path=path)
        return True

    def unload(self, name: str) -> bool:
        """Evict a copy, whatever runs on it; False means it is not there."""
        if name not in self.copies:
            return False
        del self.copies[name]
        if name in self.runs.values():
            self.note("evicted_running", copy=name)
        self.note("unload", copy=name)
        return True

    def begin_run(self, name: str, prompt: str) -> int:
        """Begin a run on a copy and return its number."""
        number = next(self._serial)
        self.runs[number] = name
        self.note("run", copy=name, prompt=prompt)
        return number

    def end_run(self, number: int, done: bool) -> None:
        """End a run, as done or cancelled."""
        if self.runs.pop(number, None) is not None:
            self.note("end" if done else "cancel", run=number)


def make_word(path: str, prompt: str, index: int) -> str:
    """Return the word that weights at ``path`` say at ``index``."""
    return f"{path}|{prompt}|{index} "


def shorten(prompt: str) -> str:
    """Return what an answer says of a prompt, short also for a long one."""
    return prompt if len(prompt) <= 64 else f"{prompt[:48]}+{len(prompt)}"


def make_event(path: str, prompt: str, index: int, is_chat: bool) -> dict:
    """Return one event of a streamed answer."""
    word = make_word(path, prompt, index)
    part = {"delta": {"content": word}} if is_chat else {"text": word}
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    choice = {"index": 0, "finish_reason": None, **part}
    return {"id": "x", "object": kind, "created": 0, "model": "", "choices": [choice]}


def make_answer(path: str, prompt: str, count: int, is_chat: bool) -> dict:
    """Return a whole answer of ``count`` tokens."""
    text = "".join(make_word(path, prompt, index) for index in range(count))
    message = {"message": {"role": "assistant", "content": text}}
    part = message if is_chat else {"text": text}
    kind = "chat.completion" if is_chat else "text_completion"
    choice = {"index": 0, "finish_reason": "stop", **part}
    return {"id": "x", "object": kind, "created": 0, "model": "", "choices": [choice]}
