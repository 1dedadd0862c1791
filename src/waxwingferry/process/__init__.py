"""What lives for one process: settings, admission, routing, members."""
