"""Report how fast services burn their error budgets.

Public surface: ``BurnRecord``, ``Sample`` and ``summarise``.
"""

from roadlift.burn.record import BurnRecord, BurnRow, Sample, merge_rows

__all__ = ["BurnRecord", "BurnRow", "Sample", "merge_rows"]
