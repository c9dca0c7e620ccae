"""Work between sites: hand-overs, the link between two gateways, and routing."""
