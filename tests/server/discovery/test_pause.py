"""Interruptible pause: end by another greenlet."""

from __future__ import annotations

from time import monotonic

import gevent

from ashpath.server.discovery.pause import InterruptiblePause


def test_interrupted_pause_ends_at_once() -> None:
    pause = InterruptiblePause()
    began = monotonic()
    sleeper = gevent.spawn(pause.sleep, 30)
    gevent.sleep(0)
    assert pause.active
    pause.interrupt()
    sleeper.get(timeout=5)
    assert not pause.active
    assert monotonic() - began < 5


def test_interrupt_without_pause_has_no_effect() -> None:
    pause = InterruptiblePause()
    pause.interrupt()
    pause.sleep(0)
    assert not pause.active
