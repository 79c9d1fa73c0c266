"""The demonstration: one real sender between simulated clients and destinations, and a summary of the final
outcomes of all messages.

`ashpath demo` runs the demonstration and prints its tables and summary; no other module may use the package,
and the package prints nothing itself.
"""
