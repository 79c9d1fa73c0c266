"""The sender's own TOML file: schema, parsing, validation, reference page, and the effect of a reload.

`cli` calls this package to start a standalone sender or to answer a user's question about the file. The
emulator validates its scenario files with it. The file is converted to the platform's form, so that each
setting is interpreted in one place. The package never opens a socket, only `loading` opens a file, and a
sender that a platform starts never imports the package.
"""
