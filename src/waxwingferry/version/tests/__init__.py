"""Tests of waxwingferry.version."""
