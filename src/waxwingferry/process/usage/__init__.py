"""Usage reports: requests per workspace and window of true time."""
