"""Specify the core protocols, small enough to explore exhaustively.

Each module is one specification for an explicit-state checker. Its rules
have the names that the modules of ``roadlift`` give them, its invariants
those of the brief's promises in docs/topics/promises.md, and each rule can be
removed, which the checker must notice.
"""
