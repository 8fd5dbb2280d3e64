"""Small HTTP client and endpoint on asyncio streams."""
