"""Minimal HTTP client and server on asyncio streams."""
