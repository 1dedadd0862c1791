"""Emulated platform and targets, and a relay that injects network faults."""
