"""Decide how calls are served: routes, endpoints, owners and loads.

No module here opens a socket or reads a clock, so that the daemon, the tests
and other programs run the same code.
"""
