"""The extensions of the daemon that an operator's file asks for.

Their interface is `Extension` in gullyoke/daemon/extension.py. The modules are imported only if an
operator's file is named.
"""
