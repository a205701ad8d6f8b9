"""Fakes of the external systems, and the demonstration that uses them."""
