"""Staged rollout of a change of program or settings over the fleet, led by one controller at a time.

Modules without I/O or clock: ``stages`` (which nodes change in which order), ``limits`` (how many nodes may be out at
once, and where) and ``state`` (a change's state machine and the commands that each node needs).  Modules with I/O:
``record`` (SQLite store of intents, outcomes and the lease with its epoch), ``controller`` (the leading process) and
``cli`` (the command line).
"""
