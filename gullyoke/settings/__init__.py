"""The settings of a site: typed reading of their texts, and the facts that they state."""
