"""Replication of the system's state: consensus, log and snapshots."""
