"""Stand-ins for callers, upstreams and links, written from INTERFACES.md."""
