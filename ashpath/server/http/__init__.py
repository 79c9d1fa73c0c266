"""HTTP/1.1 on sockets: the codec of requests and responses, and the server at the sender's listen address.

`messages`, `framing`, `receive_buffer`, `transport`, `connection` and `encoding` are the codec; the delivery
of attempts, the calls to the platform's agent and the emulator use it too. `listener` accepts clients,
`connection_table` tracks the states of their connections, `client_connection` serves one connection,
`request_handler` dispatches a request by its path, `request_parser` and `admission` turn a request into an
accepted message, and `status_api` serves the status of a sender without a platform. The runtime starts and
stops the listener.

The package makes no decision about a message beyond its admission, consumes no byte beyond the message that
it reads, writes no 202 before the write-ahead log has the message, and lets no client block the others.
"""
