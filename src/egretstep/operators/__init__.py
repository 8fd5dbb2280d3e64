"""What operators use: the agents' endpoint and its client."""
