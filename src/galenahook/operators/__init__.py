"""The operators' side: sheets, changes, status and audit."""
