"""Connections to cash servers: how many are held and being made, which is used next, when each is retired.

``plan``      every decision, without I/O or clock: it is told what happens and asked what to do
``idle_time`` what is learned of how long a server keeps an idle connection

The sockets are the host's.  Which server a request goes to is the decision module's; the plan says whether and
how it can be reached now, and what it refuses has never run.
"""
