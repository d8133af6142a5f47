"""A memcache proxy on Twisted: it carries out the decisions of the package `balancer` on real sockets."""
