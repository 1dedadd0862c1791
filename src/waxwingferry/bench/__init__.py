"""Load generator, fault injection, demo and experiments."""
