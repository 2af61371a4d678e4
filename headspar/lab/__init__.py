"""A fleet on loopback that breaks on purpose, and an audit of the four rules.

The lab owns the stand-ins of everything that a node meets, the faults that they are put through, the records
that they keep and the verdict on them.  It starts real nodes (``python -m headspar``) and nothing of theirs is
changed for it.

without I/O   scenario   what is to happen, read from TOML and checked
              plan       every arrival, server and fault of a run, drawn from scenario and seed
              machine    a cash server's cores, queue, warm-up, keys and fall
              records    what callers, servers and discovery write down
              audit      the four rules, decided from the records
              service    worth in time over worth asked for
with sockets  cash_server, fleet      the servers of a run, in a process of their own
              discovery               list and watch, one listener a node
              callers                 classes, agents, keys, retries; a process of their own
              nodes                   real nodes as processes
              children, run           starting, timing and ending all of it
for people    report                  tables and the picture of a run

Imports run downwards: nothing without I/O imports anything with it.
"""
