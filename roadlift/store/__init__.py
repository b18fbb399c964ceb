"""Provide clients for the platform's table service and object store."""
