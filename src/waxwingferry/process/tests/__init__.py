"""Tests of waxwingferry.process."""
