"""Adapter of the node to the platform that the users run it on."""
