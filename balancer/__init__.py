"""balancer: the decisions of a proxy that spreads keys over cache servers in front of a slow origin."""

from balancer.balancer import Balancer

__all__ = ["Balancer"]
