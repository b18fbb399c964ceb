"""Decide whether a failed attempt may be repeated, by outcome and by budget.

Public surface: ``RetryBudget`` and ``may_retry``.
"""

from roadlift.retries.rules import RetryBudget, may_retry

__all__ = ["RetryBudget", "may_retry"]
