"""Authentication of pull queue clients: TLS certificates and signed bearer tokens."""
