"""Membership of the proxies in one tier by SWIM, over datagrams that may be lost or late. No I/O."""
