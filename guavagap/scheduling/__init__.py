"""Decisions about requests, apart from input and output.

Modules here have no sockets, tasks or clocks of their own: time, randomness and the
state of backend servers are arguments. Each says which load pattern it answers.
"""
