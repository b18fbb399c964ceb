"""Decide on placement, loads, eviction and admission; pure and clock-free."""
