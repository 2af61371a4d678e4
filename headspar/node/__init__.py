"""The node on real sockets; all decisions are taken by ``headspar.decide.Balancer``.

core                requests, attempts, timers, deadlines; the only caller of ``Balancer.handle``
clients             one client connection: requests, answers, /healthz
client_connections  all client connections: limits, drains, time-outs
request_validation  admission rules by request class
backends            pooled connections to backends, attempts and their outcomes
discovery           the list of backends, and the watch on its changes
chain               state machine of that watch, without I/O
backend_subset      the subset of backends that this node may use
peers               datagrams between nodes
pause_detector      detection of process pauses
"""
