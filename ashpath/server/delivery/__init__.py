"""Delivery of messages: carries the attempts that the policy starts, and reports their outcomes back.

The policy runner calls this package; nothing else starts an attempt. `AttemptRunner` runs each attempt in
a greenlet of its own over a connection of `ConnectionPool` to an address of `EndpointRegistry`;
`ResponseClassifier` maps the response or the failure to an outcome, `OutcomeRecorder` writes the outcome to
the write-ahead log, and the notifiers publish the final states of messages whose clients no longer wait.
This package makes no delivery decisions: the policy alone decides which message goes where, when, and
whether it is sent again. This package writes nothing to an endpoint that the write-ahead log does not have
yet, and never calls the policy itself: it reports to the `AttemptOwner` that started the attempt.
"""
