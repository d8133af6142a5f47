"""The limit on the file descriptors of this process."""

import resource


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit to `wanted`, or as far as the hard limit allows, and return it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
