"""Counts and gauges for Prometheus; imported only where the configuration names an address for them.

`counters` counts what happens, as it happens. `collector` reads how things stand off the sender's parts when
somebody scrapes. `exposition` serves both over HTTP at an address that may change. `metrics` puts the three
together for the runtime, which makes one `Metrics`. docs/on-call.md lists the names. The package decides
nothing, changes nothing, and never holds up a batch: a scraper that is slow, or says nothing, costs its own
greenlet.
"""
