"""The pull queue for build machines: bot sessions and leases over HTTP, on the same core and rules."""
