"""Jobs that callers submit: stored, placed on workers and followed."""
