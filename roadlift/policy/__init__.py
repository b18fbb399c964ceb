"""Decide on placement, loads, eviction and admission, without any I/O."""
