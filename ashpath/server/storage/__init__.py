"""What outlives the process: the write-ahead log, and the other files of the state directory.

The sender opens these files at its start and hands them to the parts that use them; the policy runner, the
outcome recorder and admission write the log, operators' commands the detached endpoints; `ashpath ledger`
reads a log. Two processes of a hot upgrade use one directory at the same time. This package never decides
what becomes of a message, never waits for another process longer than a small write takes, never writes a
file that another living process writes without its lock, and never syncs: what the kernel has survives a
kill, which is what it is for. The formats on disk are stored data: a release reads what the one before it
wrote.
"""
