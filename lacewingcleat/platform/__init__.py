"""Translate between the formats of the platform and the types of this package."""
