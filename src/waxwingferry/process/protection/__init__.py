"""Overload protection of the local target."""
