"""Tests of waxwingferry.console."""
