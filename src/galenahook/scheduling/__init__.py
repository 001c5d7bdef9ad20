"""The decisions: what runs where and when."""
