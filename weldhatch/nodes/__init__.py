"""The node-control protocol: what is asked of nodes and gateways when the fleet is changed."""
