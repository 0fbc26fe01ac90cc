"""Front ends: listeners, client connections, the protocols on them, and request parsing."""
