"""A fleet in simulated time, for comparing two versions or settings on the same traffic.

without I/O   events       the event queue
              costs        processor and network costs, and the random network delays
              node         a node: the real decision module and connection plan on a simulated processor
              servers      cash servers and the connections to them
              discovery    the backend list, watches and calls
              callers      arrivals, client retries, the front-end load balancer
              simulate     runs a whole scenario and produces the same records as the lab
              statistics   confidence intervals, multiple testing, sequential stopping
with files    results      a content-addressed cache of runs
              versions     versions of the program
              compare      comparisons of two versions in worker processes

``headspar.world`` holds the code that is shared with the lab; nothing here imports the lab.
"""
