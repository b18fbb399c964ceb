"""Steps on the memory and the descriptors that an instance knows of."""

import json
import re
import resource
import subprocess
import sys
from pathlib import Path

from behave import then, when

from demo.fleet import ROOT
from roadlift.core.machine import MEGABYTE

_PROGRAM = """
import json, sys
from roadlift.core.machine import read_machine
print(json.dumps(read_machine(float(sys.argv[1]), int(sys.argv[2]))))
"""
_TEMPLATE = ROOT / "deploy" / "node.json"
_LIMITS = re.compile(r"\{\{#limits\.(\w+)\}\}(.*?)\{\{/limits\.\1\}\}")


def _read_total() -> int:
    """Return the memory of the machine of this test, in bytes."""
    text = Path("/proc/meminfo").read_text()
    return int(re.search(r"MemTotal:\s+(\d+)", text)[1]) * 1024


@when("a process reads its machine with these settings and resource limits")
def step_read(context):
    """Start a process with the limits of the row."""
    row = context.active_outline

    def limit() -> None:
        """Set the resource limits of the process."""
        files = int(row["files"])
        resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
        if row["resident"] != "none":
            memory = int(row["resident"]) * MEGABYTE
            resource.setrlimit(resource.RLIMIT_RSS, (memory, memory))

    command = [sys.executable, "-c", _PROGRAM, row["memory"], row["descriptors"]]
    done = subprocess.run(
        command, capture_output=True, text=True, cwd=ROOT, preexec_fn=limit, check=True
    )
    context.memory, context.descriptors = json.loads(done.stdout)


@then("it may use {known} MB and {count:d} descriptors")
def step_known(context, known, count):
    """Check what it found."""
    machine = _read_total()
    expected = machine if known == "the machine" else int(known) * MEGABYTE
    assert context.memory == expected, (context.memory, expected)
    assert context.descriptors == count


def _fill(values: dict[str, str]) -> str:
    """Fill in the limits of the template, as the platform does."""
    keep = lambda found: found[2] if found[1] in values else ""
    text = _LIMITS.sub(keep, _TEMPLATE.read_text(encoding="utf-8"))
    for name, value in values.items():
        text = text.replace("{{limits." + name + "}}", value)
    return text


@when(
    "the platform fills the deploy file's template in with {memory:d} MB and"
    " {count:d} descriptors"
)
def step_fill(context, memory, count):
    """Give both limits."""
    context.filled = _fill({"memoryMb": str(memory), "maxFds": str(count)})


@when("the platform fills the deploy file's template in without limits")
def step_fill_without(context):
    """Give none."""
    context.filled = _fill({})


@then("the settings of the instance say {memory:d} MB and {count:d} descriptors")
def step_say(context, memory, count):
    """Check the lines of the settings."""
    assert f'"memory_mb": {memory},' in context.filled
    assert f'"max_descriptors": {count},' in context.filled


@then("the settings of the instance leave both to the machine")
def step_leave(context):
    """Check that the lines are not there."""
    assert "memory_mb" not in context.filled
    assert "max_descriptors" not in context.filled
