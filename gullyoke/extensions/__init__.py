"""What an operator's file adds to the house.

One unit a feature, each behind the small interface `Feature` of gullyoke/daemon/daemon.py. Imported
only where such a file is named; the house holds a list of them.
"""
