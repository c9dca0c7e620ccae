"""A conformance suite for the pull queue: a black box that plays build machine and submitter."""
