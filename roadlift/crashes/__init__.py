"""Notice work that ends the endpoints that are given it, on any interface."""
