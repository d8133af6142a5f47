"""Raises the limit on the number of file descriptors that this process may have."""

import resource


def raise_descriptor_limit(target: int) -> int:
    """Raise the soft limit to `target`, or as far as the hard limit allows, and return the soft limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < target:
        soft = target if hard == resource.RLIM_INFINITY else min(target, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
