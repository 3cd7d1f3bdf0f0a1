"""Stand-ins for the platform services; only tests, benchmarks and the local demo use them."""
