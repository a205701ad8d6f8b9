"""Adapter to an operator's platform: protocol translation only, no policy."""
