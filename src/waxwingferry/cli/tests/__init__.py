"""Tests of waxwingferry.cli."""
