"""Upstreams: announcements, slot grants, routing and connections."""
