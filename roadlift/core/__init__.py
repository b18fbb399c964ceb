"""Provide the kernel: clock, errors, event loop, checks and registries."""
