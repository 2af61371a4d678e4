"""The flight recorder: what a node believed of its servers and what it decided, one line for each Δt.

``line`` owns the form of the file, without I/O; ``file`` writes it within a bounded size and reads it again.  What is
believed is the decision module's (``interface.Belief``); nothing here decides anything.  Off unless the operator's
file names a file.
"""
