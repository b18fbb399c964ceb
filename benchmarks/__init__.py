"""Measure on one machine, bounded in time and on loopback only."""
