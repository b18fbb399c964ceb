"""Decide whether a failed try may be repeated, by proof and by budget.

Public surface: ``RetryBudget`` and ``may_retry``.
"""

from roadlift.retries.rules import RetryBudget, may_retry

__all__ = ["RetryBudget", "may_retry"]
