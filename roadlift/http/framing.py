"""Frame an answer as the method and the version of its request want it."""

from collections.abc import Mapping

from roadlift.http.messages import get_reason_phrase

_BODILESS = (204, 304)
_LAST_CHUNK = b"0\r\n\r\n"


class AnswerFraming:
    """The framing of one answer: by its length, in chunks, or by the close.

    ``version`` is that of the request's HTTP. One that ``ends_with_close``
    has neither a length nor chunks.
    """

    def __init__(self, method: str = "", version: str = "1.1") -> None:
        self._method = method
        self._is_bodiless = False
        self.version = version
        self.is_chunked = False
        self.ends_with_close = False

    def choose(self, status: int, length: int | None) -> None:
        """Choose the framing of an answer; None is an unknown length."""
        self._is_bodiless = self._method == "HEAD" or status in _BODILESS
        self.is_chunked = length is None and self.version == "1.1"
        self.ends_with_close = length is None and not self.is_chunked

    def encode_head(
        self,
        status: int,
        headers: Mapping[str, str],
        length: int | None,
        keep_alive: bool,
    ) -> bytes:
        """Return the status line and headers, with those of the framing."""
        lines = [f"HTTP/1.1 {status} {get_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if self.is_chunked:
            lines.append("Transfer-Encoding: chunked")
        elif length is not None and status not in _BODILESS:
            lines.append(f"Content-Length: {length}")
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def encode_body(self, data: bytes) -> bytes:
        """Return body bytes, as one chunk if the answer is chunked."""
        if not data or self._is_bodiless:
            return b""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.is_chunked else data

    def encode_end(self) -> bytes:
        """Return what ends a complete answer."""
        return _LAST_CHUNK if self.is_chunked and not self._is_bodiless else b""
