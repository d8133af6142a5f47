"""The sides that call the proxy: clients with memcache commands, and operators over HTTP."""
