"""cloverwell: a memcache proxy that carries out olivestair's decisions on real sockets."""
