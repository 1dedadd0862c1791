"""Connections: TCP streams, HTTP/1.1, connection pools and servers."""
