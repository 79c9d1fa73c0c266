"""The discovery client: which endpoints there are, by snapshots and watches."""
