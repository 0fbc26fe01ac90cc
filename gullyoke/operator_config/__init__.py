"""The operator's own file.

Its schema, the reading and checking of it, and what the server is told by it.

Imported only where such a file is named; `read` is the way in.
"""
