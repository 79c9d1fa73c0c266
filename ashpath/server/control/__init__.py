"""The control address for operators: one command per connection, answered by one line.

`commands` defines the types, `protocol` is the codec of the lines, `listener` accepts connections,
`connection` serves one operator, and `connection_table` chooses the connection that is evicted when too many
are open. The runtime creates the listener with a `CommandHandler` that executes the commands. The package
makes no decision about messages or endpoints, waits for an operator at most as long as `ControlLimits`
allows, and lets no operator block another.
"""
