"""Attempts at destinations: connections, classification of responses, and recording of outcomes."""
