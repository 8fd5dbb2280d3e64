"""Tests, in the layout of the package."""
