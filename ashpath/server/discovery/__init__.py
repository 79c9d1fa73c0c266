"""Service discovery: follows the platform's endpoint list, and reports each snapshot and update.

`client` polls (a watch that is renewed at once), `state` says how the polls end and logs each change,
`snapshot` parses a response, `pause` waits between polls that failed. The runtime makes a client where the
configuration names an agent, and hands it a `MembershipListener`. The package never calls an endpoint, never
reads a row of the list (the listener does), and never takes away a list that was received before: while polls
fail, it serves on.
"""
