"""The operations API of a node: lifecycle states, metrics and the HTTP endpoints for operators.

``lifecycle`` is the state machine of the process, ``ledger`` holds the counters, ``work`` and ``calls`` build the
responses of the endpoints, ``reload`` checks a new configuration, and ``listener`` serves the sockets.  All but the
last do no I/O.
"""
