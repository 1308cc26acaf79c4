"""Small stand-ins and a runner for the cases of the second review; standard library only."""
