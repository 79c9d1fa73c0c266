"""The bench's front: `python -m ashpath.drill` speaks the bench's wire on standard input and output."""
