"""Communicate with endpoints: engines by a plug-in, and plain services."""

from roadlift.endpoints import openai  # noqa: F401  Registers the plug-in.
