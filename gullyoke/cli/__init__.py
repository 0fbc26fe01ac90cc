"""The command line, installed as `gullyoke`.

Each sub-command imports what it needs when it is called.
"""
