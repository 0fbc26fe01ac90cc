"""Codecs that parse and encode HTTP/1.1, SCGI and line-based messages, without using sockets."""
