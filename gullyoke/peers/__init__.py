"""Membership on sockets: datagrams under a key, one small thread, and what an operator asks on loopback."""
