"""Experiments: one module each, with a function run(options)."""
