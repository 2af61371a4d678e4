"""The real node: sockets on one side, ``headspar.decide.Balancer`` on the other.

core       requests, attempts, timers, deadlines; the only caller of ``Balancer.handle``
clients    the listener, client connections, /healthz
backends   kept connections to backends, attempts and their outcomes
discovery  the list of backends and its changes
peers      datagrams between nodes
"""
