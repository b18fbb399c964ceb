"""Stand-ins for the review's scripts: store, runners, callers, processes."""
