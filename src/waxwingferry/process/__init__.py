"""Per-process components: settings, admission, routing and membership."""
