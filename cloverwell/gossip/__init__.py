"""What proxies of one tier know of each other, by short datagrams that may be lost. No I/O here."""
