"""HTTP/1.1 between clients and the sender: codec, receive buffer, listener, and admission of a request."""
