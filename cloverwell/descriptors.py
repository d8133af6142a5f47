"""How many descriptors this process may hold."""

import resource


def raise_descriptors(wanted: int) -> int:
    """Raises the process's own limit as far as it is wanted and allowed; tells what it is then."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
