"""Why an attempt has no response: one type a cause.

Each `AttemptError` is stored in `Attempt.failure`; the classifier maps its direct subclasses to outcomes.
What this package raises to its callers derives from `DeliveryError`.
"""


class DeliveryError(Exception):
    """Base of all errors of this package."""


class AttemptError(DeliveryError):
    """An attempt has no response. Its direct subclasses say what that proves."""


class AttemptCancelledError(AttemptError):
    """The policy cancelled the attempt; thrown into the greenlet that carries it."""


class NotSentError(AttemptError):
    """Nothing was written, and the endpoint is not to blame."""


class EndpointNotListedError(NotSentError):
    """The endpoint had no address as the attempt started, or has left that address since."""


class AttemptNotValidError(NotSentError):
    """The policy withdrew its permission before the first byte: a drain, or a Retry-After in between."""


class PendingNotificationError(NotSentError):
    """Half of the attempt's time went by without notification of an earlier message of its ordering key."""


class DeadlineBeforeConnectError(NotSentError):
    """The attempt's time ran out before a connect timeout did: that proves nothing of the endpoint."""


class LocalFaultError(AttemptError):
    """Nothing was written, as something of this machine ran out for a moment: nobody is to blame."""


class ConnectionPoolFullError(LocalFaultError):
    """All connections to endpoints that the process may have are in use."""


class LocalResourceError(LocalFaultError):
    """The machine has no descriptor, buffer, local address or route left for a connection."""


class RequestNotWrittenError(AttemptError):
    """The request was not written to its last byte, so that it cannot have run."""


class ConnectError(RequestNotWrittenError):
    """No connection could be made: refused, unreachable, or not within the connect timeout."""


class WriteError(RequestNotWrittenError):
    """The connection failed while the request was written."""


class WriteTimeoutError(RequestNotWrittenError):
    """The attempt's time ran out while the request was written."""


class ResponseTimeoutError(AttemptError):
    """The request was written, and no response came within the attempt's time: it may have run."""


class ResponseError(AttemptError):
    """The request was written, and its response was lost: it may have run."""


class ConnectionLostError(ResponseError):
    """The endpoint closed or reset the connection before its response was whole."""


class InvalidResponseError(ResponseError):
    """What came back is no response that HTTP allows."""
