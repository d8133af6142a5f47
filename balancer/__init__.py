"""A load balancer that spreads keys over cache servers in front of a slow origin; it does no I/O."""

from balancer.balancer import Balancer

__all__ = ["Balancer"]
