"""Detect work that crashes the endpoints that run it, on any interface."""
