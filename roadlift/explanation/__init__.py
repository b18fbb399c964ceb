"""Tell from log lines alone what became of a request, and why."""
