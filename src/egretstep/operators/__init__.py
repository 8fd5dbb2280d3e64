"""The operators' endpoint of an agent, its client and settings edits."""
