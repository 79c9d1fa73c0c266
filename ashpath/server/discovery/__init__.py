"""Service discovery: follows the platform's endpoint list, and reports each snapshot and update.

`client` polls (a watch that is renewed at once), `state` says how the polls end and logs each change,
`snapshot` parses a response, `departures` keeps an older list from bringing back what left, `pause` waits
between polls that failed, and `lease` says how long they may take together. The runtime makes a client where
the configuration names an agent, and hands it a `MembershipListener`. The package never calls an endpoint,
never reads a row's address (the listener does), and never takes away a list that was received before: while
polls fail, it serves on.
"""
