"""Simulation of the fleet's environment, shared by the lab and the model.  Performs no I/O and reads no clock.

    scenario       description of a run, parsed from TOML and validated
    plan           all arrivals, servers and faults of a run, generated from a scenario and a seed
    machine        cores, queue, slow start, remembered keys and overload failure of a cash server
    server         request handling of a cash server, including injected faults
    rules          a node's settings and the audit's parameters, both derived from a scenario
    records        what callers, servers and discovery record during a run
    audit          checks a recording against the rules that every run must keep
    service        worth delivered in time over worth requested
    truth          actual state of the servers over a run
    mass_failures  scenarios of mass failures
    recovery       recovery time, causes of loss, load peaks and stale decisions after a mass failure

This package imports neither the lab (real sockets, real nodes) nor the model (simulated time).
"""
