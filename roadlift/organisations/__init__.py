"""Decide whose calls may be sent, by key, age of knowledge and allowance."""
