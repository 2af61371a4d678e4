"""Zero-downtime upgrades: a new process takes over sockets and learned state from the old process of a node.

The messages between the two (``messages``), the division of one node's limits (``shares``), the state machines of
both sides (``sides``) and the format of learned state (``beliefs``) do no I/O.  ``meeting`` holds the Unix socket
between them, ``giver`` the old process's side and ``taker`` the new one's.
"""
