"""Tests of waxwingferry.connection."""
