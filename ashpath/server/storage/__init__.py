"""What outlives the process: the write-ahead log and the other files of the state directory."""
