"""Stand-ins of what weldhatch speaks to, for tests, benchmarks and the example; no service imports them."""
