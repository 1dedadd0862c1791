"""What lives for one connection: HTTP/1.1 framing, pools, serving."""
