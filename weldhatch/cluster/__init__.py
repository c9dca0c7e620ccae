"""A dispatcher's part in a group: the links, the store and the timers round the pure logic of `coordination`.

Imported only if the configuration has the table `agreement`.
"""
