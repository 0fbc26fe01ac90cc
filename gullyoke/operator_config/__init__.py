"""The operator's file: its schema, its reading and checking, and the settings that result.

The package is imported only if such a file is named; `read` is the entry point.
"""
