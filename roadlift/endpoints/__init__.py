"""Speak to endpoints: engines by a plug-in, and plain services."""

from roadlift.endpoints import openai  # noqa: F401  It registers itself.
