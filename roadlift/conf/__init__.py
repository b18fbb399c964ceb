"""Read the settings from flags and environment variables."""
