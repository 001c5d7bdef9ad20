"""Operators' interface: sheets, changes, status, audit and command line."""
