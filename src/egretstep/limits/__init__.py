"""Rate limits of workspaces, enforced across the whole fleet."""
