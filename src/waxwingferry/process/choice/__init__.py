"""Where a call's target is chosen, and what the choice may cost."""
