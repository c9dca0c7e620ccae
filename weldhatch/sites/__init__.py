"""Work between sites: hand-offs, the link between two gateways, and routing."""
