"""Translates between the product and the users' platform."""
