"""Stores the jobs that callers submit and runs their tasks on workers."""
