"""Callers: HTTP requests, admission control, attempts and outcomes."""
