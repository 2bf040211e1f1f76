"""Benchmarks with bounds that come from the stated targets."""
