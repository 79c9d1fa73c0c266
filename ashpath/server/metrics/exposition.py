"""Serves the metrics over HTTP, at an address that may change while the sender runs.

gevent's WSGI server runs prometheus_client's application. `MAX_SCRAPERS` are served at once, each for at most
`SCRAPE_TIMEOUT_S`: a scraper that sends nothing, or does not read, blocks only its own greenlet, and no batch
waits for it.
"""

from __future__ import annotations

from contextlib import suppress

from gevent import Timeout, socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import make_wsgi_app

from ashpath.server.addresses import Address

MAX_SCRAPERS = 4  # served at once; further ones wait in the backlog
SCRAPE_TIMEOUT_S = 2.0  # from the start to the end of a scraper's connection
BACKLOG = 16  # connections not yet accepted


class TimedHandler(WSGIHandler):
    """A scraper's connection, which ends at its time limit."""

    def handle(self) -> None:
        """Serves the connection until it ends."""
        with suppress(Timeout), Timeout(SCRAPE_TIMEOUT_S):
            super().handle()


class MetricsServer:
    """Serves `registry` at `address`, or nowhere while `address` is None."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.address: Address | None = None
        self.server: WSGIServer | None = None

    def change_address(self, address: Address | None) -> None:
        """Serves at another address, or nowhere if `address` is None.

        Raises OSError if the address is not available; the previous server then continues."""
        if address == self.address:
            return
        started = None if address is None else self.start(address)
        previous = self.server
        self.server = started
        self.address = address
        if previous is not None:
            previous.stop(timeout=0)

    def start(self, address: Address) -> WSGIServer:
        """Returns a started server at an address. Raises OSError if the address is not available."""
        server = WSGIServer(
            bind(address),
            make_wsgi_app(self.registry),
            log=None,
            error_log=None,
            spawn=Pool(MAX_SCRAPERS),
            handler_class=TimedHandler,
            # Without a name the server resolves one, and other greenlets would run in the middle of
            # `change_address`.
            environ={"SERVER_NAME": address[0]},
        )
        server.start()
        return server


def bind(address: Address) -> socket.socket:
    """Returns a listening socket at an address. Raises OSError if the address is not available."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
