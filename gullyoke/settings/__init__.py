"""The settings of a site: typed reading of their texts, and the site facts parsed from them."""
