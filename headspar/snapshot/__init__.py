"""Persists a node's learned state on durable storage, so that a process started after a kill or power loss resumes.

``expiry`` defines how fast each field of the state expires and how much of a snapshot is restored, depending on its
origin and age; ``format`` is the file format.  Neither does I/O.  ``store`` manages the directory and ``writer`` runs
the writing thread.  Snapshots are off unless the operator's file names a folder, and they are never used on the
platform, which has no durable disk.
"""
