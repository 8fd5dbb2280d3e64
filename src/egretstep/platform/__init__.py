"""Adapter to the users' platform: translation between its words and ours."""
