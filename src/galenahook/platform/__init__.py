"""Adapter to the platform: its HTTP protocol, health checks and metrics."""
