"""The operators' address: the line protocol, its listener, and the commands."""
