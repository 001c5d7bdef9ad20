"""The callers' side: their HTTP requests, admission and outcomes."""
