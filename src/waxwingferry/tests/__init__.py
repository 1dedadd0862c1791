"""Tests of modules that all packages use."""
