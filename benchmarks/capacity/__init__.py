"""Measure slopes at small sizes, and work out the size of two years ahead."""
