"""The settings of a site, read from their names on the wire into typed facts."""
