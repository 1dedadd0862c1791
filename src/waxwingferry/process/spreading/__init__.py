"""How members and documents spread, and stay in force."""
