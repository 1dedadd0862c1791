"""Experiments, one module each. Each module has a function run(options)."""
