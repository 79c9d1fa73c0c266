"""What every other package imports: the policy's interface and settings, message lifecycle, statistics.

The policy extends its states and books, which decide nothing; adapters speak through `interface.py`, and
convert the operators' settings here. It imports nothing above itself, opens no file or socket, reads no
clock, and has no tuned value of its own.
"""
