"""Measure the policy's decisions on virtual time, against baselines.

This is a bench of decisions: the real Book, Seeker, PinTable, routers,
evictors and LoadGate against a model of the engines, on one event queue.
It has no network but a delay, no membership and no store.
"""
