"""Know which work ends the endpoints that are given it.

Work is a call that an endpoint runs, or an adapter that an engine loads. What
is learned here is told to others by instance/crashes.py; the interface
``openai`` has each instance know its own.
"""

import zlib
from collections.abc import Callable

from roadlift.core.errors import EndsEndpoints
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.decisions.crashes import Crashes, Sign

log = PartLog("crashes")


@parts.register("crashledger")
class CrashLedger:
    """The signs that this process knows.

    ``on_news`` is called with signs that were learned here, or are cleared,
    and ``on_change`` with the identity of work of which more is known.
    """

    name = "crashledger"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self.crashes = Crashes(zlib.crc32(kernel.settings.peer.encode()) / 2**32)
        self.on_news: list[Callable[[list[Sign]], None]] = []
        self.on_change: list[Callable[[bytes], None]] = []

    def start(self) -> None:
        """Do nothing; the ledger is told."""

    def close(self) -> None:
        """Do nothing."""

    def judge(self, identify: Callable[[], bytes]) -> EndsEndpoints | None:
        """Return why work is not to be given to an endpoint now, or None.

        ``identify`` returns its identity; it is asked only where anything is
        known of any work.
        """
        if self.crashes.is_empty:
            return None
        identity = identify()
        seconds = self.crashes.measure_refusal(identity, self._clock.now())
        if not seconds:
            return None
        ends = self.crashes.count_ends(identity)
        return EndsEndpoints(f"{ends} ended under it", round(seconds, 1))

    def is_suspect(self, identify: Callable[[], bytes]) -> bool:
        """Tell whether an endpoint ended under work that was not cleared."""
        return not self.crashes.is_empty and self.crashes.is_suspect(identify())

    def learn(self, signs: list[Sign]) -> None:
        """Learn of signs that no other instance has told."""
        found = self.merge(signs)
        if found:
            for listener in self.on_news:
                listener(found)

    def merge(self, signs: list[Sign]) -> list[Sign]:
        """Learn of signs; return those that are new."""
        refused = self.crashes.list_refused()
        found = self.crashes.merge(signs, self._clock.now())
        changed = {sign.identity for sign in found}
        # A cause that is sure now may explain what others were refused for.
        for identity in changed | (refused ^ self.crashes.list_refused()):
            self._note_change(identity)
        return found

    def clear(self, identify: Callable[[], bytes]) -> None:
        """Learn that work came to a good end, or is to be given again."""
        if self.crashes.is_empty:
            return
        identity = identify()
        was_refused = self.crashes.is_refused(identity)
        if not self.crashes.clear(identity):
            return
        if was_refused:
            log.event("work_cleared", identity=identity.hex())
        self._note_change(identity)
        cleared = self.crashes.list_signs(self._clock.now(), identity)
        for listener in self.on_news:
            listener(cleared)

    def _note_change(self, identity: bytes) -> None:
        seconds = self.crashes.measure_refusal(identity, self._clock.now())
        if seconds:
            log.event(
                "work_barred",
                identity=identity.hex(),
                ends=self.crashes.count_ends(identity),
                seconds=round(seconds, 1),
            )
        for listener in self.on_change:
            listener(identity)
