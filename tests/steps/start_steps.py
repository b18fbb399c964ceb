"""Steps on what a starting process imports."""

import json
import subprocess
import sys

from behave import then, when

from demo.fleet import ROOT

_PROGRAM = """
import json, sys
before = list(sys.path)
import roadlift.daemon.main, roadlift.instance.ingress
print(json.dumps([sorted(sys.modules), before == sys.path]))
"""


@when("the parts of the interface routes are imported in a new process")
def step_import(context):
    """Import them, and keep what is there behind that."""
    command = [sys.executable, "-c", _PROGRAM]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    context.modules, context.is_same_path = json.loads(done.stdout)


@then("{module} was not imported, and the path is as it was")
def step_not_imported(context, module):
    """Look for the module."""
    assert module not in context.modules
    assert context.is_same_path
