"""What an operator's file adds to the daemon.

Each module implements the interface `Extension` of gullyoke/daemon/extension.py. They are imported
only where an operator's file is named.
"""
