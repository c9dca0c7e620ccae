"""Who may call the pull queue: certificates for TLS, and signed bearer tokens."""
