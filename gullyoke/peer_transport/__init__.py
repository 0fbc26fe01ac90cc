"""Transport between the members of a fleet: sealed datagrams, their codecs, and one thread.

`link` has the socket and its thread, `seal` the authentication, `codec` the encoding of membership
messages, `lease_service` and `quota_service` the messages of leases and quota leases, and
`status_server` answers operators' queries on loopback.
"""
