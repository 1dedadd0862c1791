"""Load balancing among targets, and the budgets of probes and retries."""
