"""A change of program or settings over the whole fleet, in stages, by one controller at a time.

Without I/O or clock: ``stages`` (which nodes, in which order), ``limits`` (how many may be out, and where), ``state``
(the table of a change, and what is to be done about each node).  With I/O: ``record`` (SQLite: intent before the
action, outcome after it; the lease and its epoch), ``host`` (the controller), ``cli`` (for people).
"""
