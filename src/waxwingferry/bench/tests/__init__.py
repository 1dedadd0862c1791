"""Tests of waxwingferry.bench."""
