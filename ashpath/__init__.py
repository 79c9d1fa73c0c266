"""ashpath: a relay that hands envelopes on to destinations that nobody here controls."""
