"""Serves the metrics over HTTP, at an address that may change while the sender runs.

It is gevent's WSGI server over prometheus_client's application. `MAX_SCRAPERS` are served at once and each
has `SCRAPE_TIMEOUT_S`: one that says nothing, or does not read, costs its own greenlet, and no batch waits
for it.
"""

from __future__ import annotations

from contextlib import suppress

from gevent import Timeout, socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import make_wsgi_app

from ashpath.server.addresses import Address

MAX_SCRAPERS = 4  # at once; further ones wait in the listening queue
SCRAPE_TIMEOUT_S = 2.0  # of a scraper, from its connection to its end
BACKLOG = 16  # connections not yet accepted


class TimedHandler(WSGIHandler):
    """One scraper's connection, cut at its time limit."""

    def handle(self) -> None:
        """Serves it to its end."""
        with suppress(Timeout), Timeout(SCRAPE_TIMEOUT_S):
            super().handle()


class MetricsServer:
    """Serves `registry` at `address`; None: nobody is served."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.address: Address | None = None
        self.server: WSGIServer | None = None

    def move(self, address: Address | None) -> None:
        """Raises OSError where the address cannot be had; the server that was there before then serves on."""
        if address == self.address:
            return
        started = None if address is None else self.start(address)
        previous = self.server
        self.server = started
        self.address = address
        if previous is not None:
            previous.stop(timeout=0)

    def start(self, address: Address) -> WSGIServer:
        """Raises OSError."""
        server = WSGIServer(
            bind(address),
            make_wsgi_app(self.registry),
            log=None,
            error_log=None,
            spawn=Pool(MAX_SCRAPERS),
            handler_class=TimedHandler,
            # Else it would look its name up, and other greenlets would run in the middle of a move.
            environ={"SERVER_NAME": address[0]},
        )
        server.start()
        return server


def bind(address: Address) -> socket.socket:
    """A listening socket. Raises OSError."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
