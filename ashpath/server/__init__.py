"""The sender on sockets: `python -m ashpath`. docs/architecture.md tells the life of an envelope here."""
