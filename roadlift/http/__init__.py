"""Serve HTTP/1.1 to callers: strict parsing, limits and bounded buffers."""
