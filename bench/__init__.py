"""Benches with bounds from the stated target: ``python -m bench NAME``."""
