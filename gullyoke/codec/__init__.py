"""Bytes to messages and back: HTTP/1.1, SCGI and lines of words; nothing here knows a socket."""
