"""Small stand-ins for database servers and the platform, for tests."""
