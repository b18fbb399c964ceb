"""Keep the sends of a call whose engines do not respond."""

from collections.abc import Iterator

from roadlift.instance.send import Send


class KeptSends:
    """The sends that stay open while another engine is searched for."""

    def __init__(self) -> None:
        self._sends: list[Send] = []

    def __len__(self) -> int:
        return len(self._sends)

    def __iter__(self) -> Iterator[Send]:
        return iter(self._sends)

    def add(self, send: Send) -> None:
        """Keep a send; another copy of its call may run as a trial."""
        send.release_trial_slot()
        self._sends.append(send)

    def remove(self, send: Send) -> None:
        """Stop keeping a send."""
        self._sends.remove(send)

    def pop(self) -> Send:
        """Stop keeping the send that was added last, and return it."""
        return self._sends.pop()

    def clear(self) -> list[Send]:
        """Stop keeping all sends, and return them."""
        sends, self._sends = self._sends, []
        return sends

    def list_endpoints(self) -> set[str]:
        """Return the endpoints of the sends."""
        return {send.endpoint.id for send in self._sends}
