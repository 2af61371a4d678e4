"""What the people who run a node do with it: its states, figures, and the calls they make.

Owns the node's state (``lifecycle``), what is counted (``ledger``), which call gets which answer (``calls``)
and the sockets on which they come (``listener``).  The first three do no I/O.
"""
