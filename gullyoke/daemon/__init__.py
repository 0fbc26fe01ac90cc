"""The daemon: front ends, dispatcher, executor and dependency put together.

It takes no decisions about requests; gullyoke/admission does.
"""
