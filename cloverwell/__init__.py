"""cloverwell: a memcache proxy that carries out balancer's decisions on real sockets."""
