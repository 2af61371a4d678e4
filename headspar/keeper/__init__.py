"""The keeper: a supervisor process on each machine that runs the node and replaces its program or settings.

Modules without I/O and clock: ``core`` (state machines that move the node to the wanted generation), ``fence``
(rejects commands of expired epochs and repeated steps), ``backoff`` (restart backoff), ``slots`` (time slots for
rolling back while no controller is reachable), ``commands`` (validates and applies commands), ``messages``
(protocol).
Modules with I/O: ``generations`` (atomic copies of releases), ``state`` (durable state), ``processes`` (starts and
signals, only to processes whose identity is verified), ``node_client`` (HTTP calls to the node), ``host`` (the event
loop and the listener for controllers).
"""
