"""Run the daemon with faults that tests set: cuts, and rules broken.

A part that registers itself drops what goes to or comes from blocked
addresses, as a cut network would: without a word to either side. Commands
come as JSON by UDP. ``ROADLIFT_BREAK`` in the settings' place would be a
setting of the product, so the rule to break is the first argument.
"""

import json
import socket
import sys

from roadlift.core.kernel import Kernel, components
from roadlift.daemon import main as daemon
from roadlift.daemon.members import Members
from roadlift.daemon.transport import Transport
from roadlift.idempotency.claims import Claims
from roadlift.ownership.record import EndpointRecord
from roadlift.pins.table import PinTable
from roadlift.relay import upstream

blocked: set[str] = set()


@components.register("faults")
class Faults:
    """Drop what crosses a cut."""

    name = "faults"
    needs = ("members", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._members = kernel.get(Members)
        self._transport = kernel.get(Transport)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._send = self._transport.send
        self._dispatch = self._transport._dispatch
        self._transport.send = self._send_unless_cut
        self._transport._dispatch = self._dispatch_unless_cut

    def start(self) -> None:
        """Listen for commands at the peer address's port, by UDP."""
        host, port = self._kernel.settings.peer.split(":")
        self._socket.bind((host, int(port)))
        self._socket.setblocking(False)
        self._kernel.loop.watch(self._socket.fileno(), self._read_command)

    def close(self) -> None:
        """Stop listening."""
        self._kernel.loop.unwatch(self._socket.fileno())
        self._socket.close()

    def _read_command(self) -> None:
        blocked.clear()
        blocked.update(json.loads(self._socket.recv(65536)))

    def _send_unless_cut(self, address: str, message: object) -> bool:
        return True if address in blocked else self._send(address, message)

    def _dispatch_unless_cut(self, envelope) -> None:
        name = envelope.sender.rpartition("#")[0]
        member = self._members.detector.get_member(name)
        if member is None or member.peer not in blocked:
            self._dispatch(envelope)


def _start_unless_cut(self: upstream.Call) -> None:
    """Connect nowhere across a cut; the timeout tells."""
    if str(self._address) not in blocked:
        _start(self)
        return
    self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    self._timer = self._loop.call_later(self._timeout, self._on_timeout)


_start = upstream.Call.start
upstream.Call.start = _start_unless_cut


def break_rule(name: str) -> None:
    """Remove one rule from the code, to see that a test notices."""
    if name == "evict_unpinned":
        EndpointRecord.may_evict = lambda self, copy: copy.state.value != "loading"
    elif name == "return_idle":
        PinTable.recall = lambda self, endpoint, copy: (
            self._release_pin(pin)
            if (pin := self._pins.get((endpoint, copy)))
            else None
        )
    elif name == "claim_first":
        Claims.claim = lambda self, key, fingerprint, on_claim, *_: on_claim(None)
    elif name != "none":
        raise ValueError(f"no rule {name!r} can be broken here")


if __name__ == "__main__":
    break_rule(sys.argv.pop(1))
    daemon.main()
