"""Translate between the users' platform and the product's own types."""
