"""Assemble the parts into the daemon of an entry instance."""
