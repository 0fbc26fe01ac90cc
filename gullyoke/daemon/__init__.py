"""The real server: fronts, desk, work and calls put together.

It decides nothing about reqs.

A req passes the stages take in (front.intake), admit, route, send, relay and book, a module each.
"""
