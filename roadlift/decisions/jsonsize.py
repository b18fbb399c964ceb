"""Estimate what a JSON text takes once it is parsed.

Load pattern: a body inside the limit that holds millions of empty lists or
single digits takes twenty times its bytes as objects.
"""

_SEPARATORS = (b",", b"[", b"{", b":")
OBJECT_COST = 72  # Bytes of a list or mapping, and of its place in another.


def estimate_parsed_size(text: bytes) -> int:
    """Return the bytes of memory that the values of a text take at most.

    Each value stands behind a separator. Those inside strings count as well:
    a long prompt has one in some tens of characters.
    """
    values = 1 + sum(text.count(separator) for separator in _SEPARATORS)
    return len(text) + OBJECT_COST * values
