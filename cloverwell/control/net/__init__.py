"""The control log's transport: frames, connections between nodes, and the connections of proxies."""
