"""The operators' console: forms in a browser on their own computer."""
