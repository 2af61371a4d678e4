"""Zero-downtime upgrades: a new process takes over sockets and learned state from the old process of a node.

The messages between the two (``messages``), the division of one node's limits (``shares``), the state machines of
both sides (``transitions``) and the format of learned state (``beliefs``) do no I/O.  ``unix_socket`` holds the Unix
socket between them, ``old_process`` the old process's side and ``new_process`` the new one's.
"""
