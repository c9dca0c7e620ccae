"""What a change of the fleet comes to: plans, their checks, and the way through them. No I/O in here."""
