"""Leave without cutting off a request.

Public surface: ``Drain`` and ``Phase``.
"""

from roadlift.draining.drain import Drain, Phase

__all__ = ["Drain", "Phase"]
