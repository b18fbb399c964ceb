"""Maintain the list of instances by heartbeats between them.

Public API: ``Detector`` and ``Member``. docs/internals/membership.md has the
reasons and the measured costs.
"""

from roadlift.membership.detector import Detector, Timing
from roadlift.membership.members import Member, State

__all__ = ["Detector", "Member", "State", "Timing"]
