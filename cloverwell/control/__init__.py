"""The fleet's control log: ordered, versioned entries that control nodes agree on and proxies follow.

The modules of this package itself do no I/O. A caller passes in events and the time, gets typed messages and
effects back, and carries out the effects in the order in which they are listed. Times are milliseconds of one
process's monotonic clock and are never compared between processes.
"""
