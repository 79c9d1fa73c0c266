"""ashpath: a relay that delivers messages to destinations which it does not control."""
