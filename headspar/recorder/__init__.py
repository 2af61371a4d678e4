"""The flight recorder: a log of a node's estimates for its servers and of its decisions, one line per Δt.

``line`` defines the format, without I/O; ``file`` writes files of bounded size and reads them.  The estimates come
from the decision module (``interface.Belief``).  The recorder is off unless the operator's file names a file.
"""
