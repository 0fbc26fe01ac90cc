"""The real server: a second front on the port, on sockets. It decides nothing about reqs.

A req passes the stages take in (intake), admit, route, send, relay and book, a module each.
"""
