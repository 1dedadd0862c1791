"""Stand-ins for the platform and the targets."""
