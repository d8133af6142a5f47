"""The fleet's control log: ordered, versioned entries that control nodes agree on and proxies follow.

There is no I/O here. Events and the time go in, typed messages and effects come out; the caller carries out
effects in the order in which they are listed. Times are milliseconds of one process's monotonic clock and are
never compared between processes.
"""
