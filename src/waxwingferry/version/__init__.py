"""What lives for one revision or version: the document and rollouts."""
