"""The link to the operators' simulator: its wire format and the adapter that hosts policies on it."""
