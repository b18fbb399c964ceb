"""Components of an instance that serves the routes of a platform."""
