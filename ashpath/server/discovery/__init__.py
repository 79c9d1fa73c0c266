"""Service discovery: polls the platform's endpoint list, and reports each snapshot and update.

`client` polls (a watch that is renewed at once), `state` classifies the results of polls and logs each
change, `snapshot` parses a response, `departures` prevents an older list from restoring endpoints that left,
`pause` waits between failed polls, and `lease` bounds the total time of polls and pauses. The runtime creates
a client if the configuration names an agent, and passes it a `MembershipListener`. The package never calls an
endpoint, never reads a row's address (the listener does), and never withdraws a list that was received
before: while polls fail, that list remains in use.
"""
