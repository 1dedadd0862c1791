"""How the own target is protected from more than it bears."""
