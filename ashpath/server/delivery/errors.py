"""Errors of delivery: one type for each cause that leaves an attempt without a response.

Each `AttemptError` is stored in `Attempt.failure`; the classifier maps its direct subclasses to outcomes.
All errors that this package raises to its callers derive from `DeliveryError`.
"""


class DeliveryError(Exception):
    """Base of all errors of this package."""


class AttemptError(DeliveryError):
    """An attempt has no response. Its direct subclasses tell whether the request may have run."""


class AttemptCancelledError(AttemptError):
    """The policy cancelled the attempt; raised in the greenlet that runs it."""


class NotSentError(AttemptError):
    """Nothing was written, for a reason that does not lie with the endpoint."""


class EndpointNotListedError(NotSentError):
    """The endpoint had no address when the attempt started, or has left that address since."""


class AttemptNotValidError(NotSentError):
    """A drain or a Retry-After made the attempt invalid before its first byte was written."""


class AttemptNotRecordedError(NotSentError):
    """The write-ahead log did not take the attempt: unrecorded, it could run twice after a restart."""


class PendingNotificationError(NotSentError):
    """A notification for the same ordering key was still pending after half of the attempt's time."""


class DeadlineBeforeConnectError(NotSentError):
    """The attempt's deadline passed before the connect timeout, which proves nothing about the endpoint."""


class LocalFaultError(AttemptError):
    """Nothing was written, because this machine lacked a resource: no fault of the endpoint."""


class ConnectionPoolFullError(LocalFaultError):
    """The process has as many connections to endpoints in use as its limit allows."""


class LocalResourceError(LocalFaultError):
    """This machine has no descriptor, buffer, local address or route for a connection."""


class RequestNotWrittenError(AttemptError):
    """The request was not written to its last byte, so that it cannot have run."""


class ConnectError(RequestNotWrittenError):
    """No connection could be made: refused, unreachable, or not within the connect timeout."""


class WriteError(RequestNotWrittenError):
    """The connection failed while the request was written."""


class WriteTimeoutError(RequestNotWrittenError):
    """The attempt's deadline passed while the request was written."""


class ResponseTimeoutError(AttemptError):
    """The request was written, and no response came before the deadline: the request may have run."""


class ResponseError(AttemptError):
    """The request was written, and its response was lost: the request may have run."""


class ConnectionLostError(ResponseError):
    """The endpoint closed or reset the connection before its response was complete."""


class InvalidResponseError(ResponseError):
    """The endpoint sent bytes that are not a valid HTTP response."""


class EarlierResponseInDoubtError(ResponseError):
    """Nothing was written: the message's earlier attempt may have run, as its response may be another's."""


class ResponseInDoubtError(ResponseError):
    """The response may belong to another request: one response too many came on the connection."""
