"""Fleet-wide statistics from the nodes' own flight records.  ``count`` performs no I/O."""
