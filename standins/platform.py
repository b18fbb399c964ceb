"""Stand in for the platform: table, objects, instance list and weights.

``POST /faults`` sets: ``outage`` (every store call fails), ``lose_replies``
(that many writes take effect without an answer), ``drop_writes`` (that many
fail without effect). ``GET /counts`` tells the calls so far.
"""

import argparse
import asyncio
import hashlib
import time

from standins.http import Received, Reply, reply_json, serve


class Platform:
    """The state of the stand-in; nothing is kept on disk."""

    def __init__(self, weight_rate: float, weight_width: int) -> None:
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.objects: dict[str, bytes] = {}
        self.instances: list[dict] = []
        self.faults = {"outage": False, "lose_replies": 0, "drop_writes": 0}
        self.counts = {"reads": 0, "writes": 0, "weights": 0}
        self.most_weights_at_once = 0
        self._weight_rate = weight_rate
        self._weight_width = weight_width
        self._weights_now = 0

    async def handle(self, request: Received, _) -> Reply:
        """Answer one request."""
        root, _, rest = request.path.lstrip("/").partition("/")
        if root == "faults":
            self.faults.update(request.read_json())
            return reply_json(self.faults)
        if root == "counts":
            return reply_json({**self.counts, "at_once": self.most_weights_at_once})
        if root == "weights":
            return await self._read_weights(rest)
        if root == "instances":
            return reply_json(self.instances)
        return self.handle_store(request)

    def handle_store(self, request: Received) -> Reply:
        """Answer a call of the table service or the object store."""
        root, _, rest = request.path.lstrip("/").partition("/")
        if self.faults["outage"]:
            return Reply(0)
        if request.method == "GET":
            self.counts["reads"] += 1
            return self._read(root, rest)
        self.counts["writes"] += 1
        return self._write(root, rest, request)

    def _read(self, root: str, key: str) -> Reply:
        if root == "objects":
            data = self.objects.get(key)
            return Reply(404) if data is None else Reply(200, data)
        if key not in self.rows:
            return Reply(404)
        value, version = self.rows[key]
        return Reply(200, value, {"ETag": f'"{version}"'})

    def _write(self, root: str, key: str, request: Received) -> Reply:
        if self.faults["drop_writes"]:
            self.faults["drop_writes"] -= 1
            return Reply(0)
        reply = self._apply(root, key, request)
        if reply.status < 300 and self.faults["lose_replies"]:
            self.faults["lose_replies"] -= 1
            return Reply(0)
        return reply

    def _apply(self, root: str, key: str, request: Received) -> Reply:
        if root == "objects":
            if hashlib.sha256(request.body).hexdigest() != key:
                return Reply(400)
            self.objects[key] = request.body
            return Reply(200)
        _, version = self.rows.get(key, (b"", 0))
        expected = request.headers.get("if-match")
        if request.headers.get("if-none-match") == "*":
            if version:
                return Reply(412)
        elif expected != f'"{version}"':
            return Reply(412)
        self.rows[key] = (request.body, version + 1)
        return Reply(200, b"", {"ETag": f'"{version + 1}"'})

    async def _read_weights(self, path: str) -> Reply:
        """Take the time of a load; more at once slow each other down."""
        self.counts["weights"] += 1
        self._weights_now += 1
        self.most_weights_at_once = max(self.most_weights_at_once, self._weights_now)
        try:
            full_speed = self._weight_width / self._weight_rate
            slowdown = max(1.0, self._weights_now / self._weight_width)
            await asyncio.sleep(full_speed * slowdown)
        finally:
            self._weights_now -= 1
        return Reply(200, path.encode())


async def run(args: argparse.Namespace) -> None:
    """Serve until the process is ended."""
    platform = Platform(args.weight_rate, args.weight_width)
    server = await serve("127.0.0.1", args.port, platform.handle)
    print(f"platform at {args.port}", time.time(), flush=True)
    await server.serve_forever()


def main() -> None:
    """Read the flags and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--weight-rate", type=float, default=9.0)
    parser.add_argument("--weight-width", type=int, default=4)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
