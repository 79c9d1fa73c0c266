"""Attempts at destinations: from a message that the policy sends to an endpoint, to the outcome it is told.

The policy runner calls this package; nothing else starts an attempt. `AttemptRunner` carries each attempt in
a greenlet of its own over a connection of `ConnectionPool` to an address of `EndpointRegistry`;
`ResponseClassifier` turns what came back into an outcome, `OutcomeRecorder` writes it to the write-ahead log,
and the notifiers publish the final states of messages whose clients have gone. It must never decide: which
message goes where, when, and whether again is the policy's alone. It must never write to an endpoint what the
write-ahead log does not have yet, and never call the policy itself: it reports to the `AttemptOwner` that
started the attempt.
"""
