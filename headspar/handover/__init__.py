"""An upgrade: a second process takes over from the first, and no client notices.

Owns what the two say (``messages``), how they share one node's limits and who is where in it (``shares``,
``sides``), all without I/O, and the sockets at which they meet (``meeting``, ``giver``, ``taker``).
"""
