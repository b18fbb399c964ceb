"""Callers that leave before their answers are complete."""

from standins.hubcaller import HubCaller
from standins.lines import Timeline


class LeavingCaller(HubCaller):
    """A caller that closes its connection after the first event."""

    def __init__(self, timeline: Timeline) -> None:
        super().__init__()
        self._timeline = timeline
        self.has_left = False

    def write(self, data: bytes) -> None:
        """Keep body bytes, and leave."""
        super().write(data)
        if not self.has_left:
            self.has_left = True
            self._timeline.call_later(0.0, self._leave)

    def _leave(self) -> None:
        if self.on_gone is not None:
            self.on_gone()
