"""The sender's own file: its shape, its checks, its reference page, and what a change of it means.

`command` reads a file here and hands the sender the platform's form of it, so that each rule has one place.
Nothing here opens a socket, and only `read` opens a file. A sender under RELAY_* never imports this room.
"""
