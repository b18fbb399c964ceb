"""Start a small deployment on loopback and use it as callers do."""
