"""Fakes of callers, upstreams and links, written from INTERFACES.md."""
