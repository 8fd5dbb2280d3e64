"""Settings: schema, inheritance, versions and freshness."""
