"""Relay bytes between callers and endpoints, with back-pressure."""
