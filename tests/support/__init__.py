"""Shared code of the tests: test doubles, harnesses, and the processes around a sender."""
