"""The daemon, which connects front ends, dispatcher, executor and dependency.

The decisions about requests are taken in gullyoke/admission.
"""
