"""The connection pool to cash servers: pool size, choice of the connection for an attempt, and retirement.

``plan``          all pool decisions, without I/O or a clock: the host reports events and asks what to do
``idle_timeout``  estimates how long a server keeps an idle connection open
``subset``        selects the servers that a node connects to when there are too many for its descriptors
``waiters``       the queue of attempts that wait for a connection to one server

The host owns the sockets.  The decision module chooses the server for a request; the plan says whether and how that
server can be reached now.  An attempt that the plan refuses was never sent.
"""
