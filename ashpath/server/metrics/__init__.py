"""Counters and gauges for Prometheus; imported only if the configuration gives an address for them.

`counters` counts events as they happen. `collector` reads the gauges from the sender's components at each
scrape. `exposition` serves both over HTTP at an address that may change. `metrics` combines the three for the
runtime, which creates one `Metrics`. docs/on-call.md lists the names. The package makes no decision, changes
no state, and never delays a batch: a slow or silent scraper blocks only its own greenlet.
"""
