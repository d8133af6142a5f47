"""Scale runs: many hollow proxies beside a few real ones, as processes on loopback in real time.

A hollow proxy is a whole proxy that no client can reach. It has no listening port, and everything else of it
runs: the watch of the endpoint list, the decisions, the connection pools and the timer wheel.
"""
