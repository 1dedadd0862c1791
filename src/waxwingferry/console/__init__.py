"""Web console for operators, served on their own computer."""
