"""Benchmarks with bounds from the target load: ``python -m bench NAME``."""
