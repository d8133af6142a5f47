"""The control log's transport: frames, connections of proxies and control nodes, the operator's client."""
