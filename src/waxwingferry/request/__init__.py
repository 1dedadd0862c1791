"""Handling of one request: calls, attempts, outcomes and claims."""
