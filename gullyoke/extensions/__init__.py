"""The extensions of the daemon that an operator's file asks for.

Each module implements the interface `Extension` of gullyoke/daemon/extension.py. They are imported
only where an operator's file is named.
"""
