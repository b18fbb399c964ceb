"""Stand in for a caller of an instance, in memory."""

from collections.abc import Callable


class HubCaller:
    """A caller in memory, which keeps what it is told."""

    def __init__(self) -> None:
        self.started = False
        self.is_full = False
        self.on_gone: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.is_cut = False
        self.error = None
        self.error_headers: dict[str, str] = {}

    def write_head(self, status, headers, length=None) -> None:
        """Keep the head."""
        self.started = True
        self.status, self.headers = status, headers

    def write(self, data: bytes) -> None:
        """Keep body bytes."""
        self.body += data

    def finish(self) -> None:
        """Note that the answer is whole."""
        self.is_whole = True

    def answer(self, status, headers, body) -> None:
        """Keep a whole answer."""
        self.write_head(status, headers)
        self.write(body)
        self.finish()

    def answer_error(self, error, headers) -> None:
        """Keep the error."""
        self.error = error
        self.error_headers = dict(headers)

    def truncate(self) -> None:
        """Note that the answer is cut short."""
        self.is_cut = True

    def close(self) -> None:
        """Leave the answer as it is."""
