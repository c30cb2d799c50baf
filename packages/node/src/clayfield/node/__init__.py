"""The processes of a pool's nodes and their network protocols.

An entry node serves callers and schedules workers; a control node votes in
the replicated control log. Import each process from its own module, so that
a node doesn't load what only the other role needs.
"""
