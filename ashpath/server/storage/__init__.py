"""Stored data: the write-ahead log and the other files of the state directory.

The sender opens these files at its start and passes them to the components that use them. The policy runner,
the outcome recorder and admission write the log; operators' commands write the detached endpoints; `ashpath
ledger` reads a log. The two processes of a hot upgrade use one directory at the same time.

This package never decides the state of a message, never waits for another process longer than a small write
takes, and never writes a file that another living process writes without holding its lock. It never syncs:
the data has to survive a kill of the process, and data in the kernel's page cache does. A release reads the
formats that the previous release wrote.
"""
