"""A black-box conformance suite for the pull queue, which acts as a build machine and as a submitter."""
