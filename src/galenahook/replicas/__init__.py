"""The replicas of the system's state: consensus, log and snapshots."""
