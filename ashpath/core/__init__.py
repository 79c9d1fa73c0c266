"""What every other package imports: the policy's interface, settings, message lifecycle and statistics.

It imports nothing above itself, opens no file or socket and reads no clock."""
