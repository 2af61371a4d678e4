"""One process for each machine, which holds its node through changes of program and settings.

Without I/O or clock: ``core`` (what runs, what ought to run, and what is done about it), ``fence`` (which commands
count), ``pauses`` (when what has died is started again), ``slots`` (who may move when nobody leads).  With I/O:
``generations`` (folders, copied whole or not at all), ``state`` (what lasts), ``processes`` (starts and signals,
only to what is proven to be ours), ``host`` (the whole, with its listener).
"""
