"""Shut down without cutting off running requests.

Public API: ``Drain`` and ``Phase``.
"""

from roadlift.draining.drain import Drain, Phase

__all__ = ["Drain", "Phase"]
