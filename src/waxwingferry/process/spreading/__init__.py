"""Propagation of documents and member rows between nodes."""
