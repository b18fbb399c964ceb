"""Stand in for a plain service, some of whose calls may not be repeated.

``POST /labels`` makes a label with a number; ``GET /status`` may be repeated.
The journal tells what was made.
"""

import argparse
import asyncio

from standins.http import Received, Reply, reply_json, serve


class Service:
    """The state of the stand-in."""

    def __init__(self) -> None:
        self.labels: list[str] = []

    async def handle(self, request: Received, _) -> Reply:
        """Answer one request."""
        if request.path == "/labels" and request.method == "POST":
            self.labels.append(request.body.decode())
            made = {"label": request.body.decode(), "number": len(self.labels)}
            return reply_json(made)
        if request.path == "/journal":
            return reply_json(self.labels)
        if request.path.startswith("/status"):
            return reply_json({"status": request.path})
        return Reply(404)


async def run(port: int) -> None:
    """Serve until the process is ended."""
    server = await serve("127.0.0.1", port, Service().handle)
    await server.serve_forever()


def main() -> None:
    """Read the flags and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(run(parser.parse_args().port))


if __name__ == "__main__":
    main()
