"""Adapter to the users' platform: translates its protocol, decides nothing."""
