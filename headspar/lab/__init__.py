"""A fleet on loopback with fault injection, and an audit of the four rules.

The lab provides stubs, on real sockets, of everything that a node talks to, and carries out the runs.  It starts
unmodified nodes (``python -m headspar``).  ``headspar.world`` defines the plan of a run, the behaviour of a cash
server, the records and the audit.

with sockets  cash_server, fleet      the servers of a run, in one separate process
              discovery               stub of discovery: list and watch, one listener per node
              callers                 simulated clients (classes, agents, keys, retries), in separate processes
              nodes                   real nodes as processes
              links, fault_proxy      relays that inject faults between processes
              sockets                 idle connections, and closing with a reset
              scripted, keeper_run    runs with a script, and runs with keepers
              children, run           starting, timing and stopping all processes
              soak, soak_cli          drawn runs, several at once, replayed and shrunk
without I/O   result                  what a run returns
              record_totals           figures from a node's flight record, and from keepers' logs
files         soak_file               a run of the soak as TOML
for people    report, explain         tables and charts of a run, and of a node's flight record
"""
