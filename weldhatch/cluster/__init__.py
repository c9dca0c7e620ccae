"""One process of a group of dispatchers: links, store and clock for what `coordination` decides.

Imported only where the configuration has a table `agreement`.
"""
