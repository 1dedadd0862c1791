"""Tests of waxwingferry.request."""
