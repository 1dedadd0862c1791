"""Tests of waxwingferry.emulator."""
