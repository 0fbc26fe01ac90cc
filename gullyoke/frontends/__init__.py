"""How requests come in: listeners, client connections, each protocol's exchange, and parsing."""
