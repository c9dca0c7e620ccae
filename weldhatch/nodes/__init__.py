"""The node-control protocol: the requests to nodes and gateways by which a change of the fleet is applied."""
