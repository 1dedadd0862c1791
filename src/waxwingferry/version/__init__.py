"""The operators' document, its revisions, and version rollouts."""
