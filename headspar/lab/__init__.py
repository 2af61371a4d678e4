"""A fleet on loopback with fault injection, and an audit of the four rules.

The lab provides stubs, on real sockets, of everything that a node talks to, and carries out the runs.  It starts
unmodified nodes (``python -m headspar``).  ``headspar.world`` defines the plan of a run, the behaviour of a cash
server, the records and the audit.

with sockets  cash_server, fleet      the servers of a run, in one separate process
              discovery               stub of discovery: list and watch, one listener per node
              callers                 simulated clients (classes, agents, keys, retries), in separate processes
              nodes                   real nodes as processes
              links                   relays that inject faults between processes
              scripted, keeper_run    runs with a script, and runs with keepers
              children, run           starting, timing and stopping all processes
without I/O   record_totals           figures from a node's flight record, and from keepers' logs
for people    report, explain         tables and charts of a run, and of a node's flight record
"""
