"""Stand in for the outside systems, at their interfaces only."""
