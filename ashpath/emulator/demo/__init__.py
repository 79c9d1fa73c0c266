"""The demonstration: stand-in destinations and clients with one real sender between them, and an account of
every message at the end.

`ashpath demo` runs it and prints what it reports; nothing else may call it, and nothing here prints.
"""
