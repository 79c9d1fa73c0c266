"""The operators' address: one command a connection, answered by one line.

`commands` has the types, `protocol` the codec of the lines, `listener` accepts, `connection` serves one
operator, and `connection_table` decides who gives way when too many are connected. The runtime makes the
listener, and hands it a `CommandHandler` that carries commands out. The package decides nothing about
messages or endpoints, never waits for an operator longer than `ServerLimits` allows, and never lets one
operator keep another out.
"""
