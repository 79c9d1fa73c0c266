"""The sender's own TOML file: its shape, parsing, validation, reference page, and what a changed file means.

Called by `cli`, which starts a standalone sender or answers a user from it, and by the emulator, whose
scenario files go through the same validation. It hands the sender the platform's form of the file, so that
each setting is interpreted in one place. It never opens a socket, only `loading` opens a file, and a sender
that a platform starts never imports it.
"""
