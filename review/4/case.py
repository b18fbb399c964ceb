"""A runner leaves just after an owner's short cut from the store.

Two instances in each of three zones. The instance that holds the lease of a
zone is cut from the store for 0.8 s. Soon after a runner of the zone
leaves without a drain report: its entry is removed, and it serves on for a
little over 2 s. All requests go through the zone's other instance, which is
never disrupted.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from processes import (  # noqa: E402
    Instance,
    Ports,
    Sent,
    call,
    describe_configuration,
    wait_until_ready,
)
from runners import Runner  # noqa: E402
from store import Store  # noqa: E402
from wire import now  # noqa: E402

ZONES = ["z1", "z2", "z3"]
SERVICE = "web"
WORK = 0.045  # Seconds that a request takes, as on the sheet.
DRAIN = 2.0  # Seconds of the bound drainMs.
SERVED_ON = 2.6  # Seconds for which the runner serves after its removal.
CUT = 0.8  # Seconds of the cut; the site file has 5.5.
LEAVING = 0.2  # Seconds from the end of the cut until the runner leaves.
SETTLING = 6.0  # Seconds from readiness to the cut.
INTERVAL = 0.02  # Seconds between requests.
LIMIT = 1.0  # Seconds of a request's time budget.
HELD, BROKEN, NOT_RUN = 0, 1, 2
RECORD = Path(__file__).with_name("record.txt")


class Case:
    """The processes of the case, and what was seen."""

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        ports = Ports()
        self._has_trouble = has_trouble
        self._store = Store()
        self._instances = [
            Instance(folder, f"edge-{zone}-{number}", zone, ZONES, ports)
            for zone in ZONES
            for number in (1, 2)
        ]
        self._runners = [
            Runner(self._store, SERVICE, f"i-{zone}", zone, ports.choose(), WORK)
            for zone in ZONES
        ]
        ports.release()
        self._sent: list[Sent] = []
        self._notes: list[tuple[float, str]] = []

    def note(self, text: str) -> None:
        """Note what the case does, with its time."""
        self._notes.append((now(), text))

    async def run(self) -> int:
        """Play the case, and return its exit code."""
        for one in self._instances:
            await self._store.open(one.name, one.store_port)
        await self._store.put("op", "config", describe_configuration(3, SERVICE))
        for runner in self._runners:
            await runner.start()
        for one in self._instances:
            one.start()
        if not await wait_until_ready(self._instances, 30.0):
            return NOT_RUN
        await asyncio.sleep(SETTLING)
        owner = self._store.find_writer("z1")
        others = [
            one for one in self._instances if one.zone == "z1" and one.name != owner
        ]
        if owner not in [one.name for one in self._instances if one.zone == "z1"]:
            self.note(f"zone z1 is owned by {owner!r}")
            return NOT_RUN
        calling = asyncio.create_task(self._call(others[0]))
        await asyncio.sleep(1.0)
        if self._has_trouble:
            self.note(f"{owner} is cut from the store")
            await self._store.cut(owner)
            await asyncio.sleep(CUT)
            await self._store.heal(owner)
            self.note(f"{owner} reaches the store again")
        await asyncio.sleep(LEAVING)
        leaving = self._runners[0]
        left_at = await leaving.withdraw()
        self.note(f"the store has taken the removal of {leaving.name}")
        await asyncio.sleep(SERVED_ON)
        leaving.end()
        self.note(f"{leaving.name} has ended")
        await asyncio.sleep(2.0)
        calling.cancel()
        return self._judge(leaving, left_at)

    async def _call(self, instance: Instance) -> None:
        """Send requests to one instance, each on a channel of its own."""
        calls: set[asyncio.Task] = set()
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(
                call(instance, f"c{number:05}", "/once/x", LIMIT)
            )
            calls.add(task)
            task.add_done_callback(self._record)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(INTERVAL)

    def _record(self, done: asyncio.Task) -> None:
        """Record how a request ended, unless the case ended before."""
        if not done.cancelled():
            self._sent.append(done.result())

    def _judge(self, leaving: Runner, left_at: float) -> int:
        late = [one for one in leaving.arrivals if one.at > left_at + DRAIN]
        for one in late[:20]:
            after = one.at - left_at
            self._notes.append(
                (one.at, f"{one.call_id} reaches {one.runner} {after:.3f} s after it")
            )
        served = sum(one.status == 200 for one in self._sent)
        failed = sorted({one.status for one in self._sent if one.status != 200})
        self.note(f"{len(self._sent)} requests sent, {served} served, others {failed}")
        self.note(f"{len(late)} requests reached the runner later than {DRAIN} s")
        if not served or not leaving.arrivals:
            return NOT_RUN
        return BROKEN if late else HELD

    def write(self, code: int) -> None:
        """Write the record: what was done, sent, answered and run."""
        lines = [f"exit code {code}"]
        lines += [f"{at:.3f} {text}" for at, text in sorted(self._notes)]
        lines += [
            f"{one.at:.3f} {one.call_id} sent to {one.instance}: {one.status} "
            f"at {one.ended_at:.3f}"
            for one in sorted(self._sent)
        ]
        lines += [
            f"{one.at:.3f} {one.call_id} run by {one.runner}"
            for runner in self._runners
            for one in runner.arrivals
        ]
        RECORD.write_text("\n".join(lines) + "\n")

    def close(self) -> None:
        """End every process."""
        for one in self._instances:
            one.end()


async def main() -> int:
    """Play the case in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), os.environ.get("TROUBLE") != "0")
        code = NOT_RUN
        try:
            code = await case.run()
        finally:
            case.close()
            case.write(code)
    return code


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
