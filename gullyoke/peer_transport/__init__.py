"""Transport between the members of a fleet: sealed datagrams, their codecs, and one thread.

`link` is the socket and its thread, `seal` the authentication, `codec` the datagrams of membership,
`lease_service` and `quota_service` the messages of leases and of quota leases, `status_server` what
operators ask on loopback.
"""
