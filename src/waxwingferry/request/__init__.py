"""What lives for one request: calls, attempts, outcomes and claims."""
