"""HTTP/1.1 on sockets: messages of either side, and the address that clients meet.

`messages`, `framing`, `receive_buffer`, `transport`, `connection` and `encoding` are the codec; the delivery
of attempts, the calls to the platform's agent and the emulator use it too. `listener` accepts clients,
`connection_table` has the states of their connections, `client_connection` serves one, `request_handler`
finds what a request gets, `request_parser` and `admission` make a message of it, and `status_api` serves the
status of a sender without a platform. The runtime makes the listener and ends it. The package decides nothing
about a message beyond its admission, never consumes a byte beyond the message that it reads, never writes a
202 before the write-ahead log has the message, and never lets one client keep the others out.
"""
