"""Link to the operators' simulator: the codec of its protocol, and the adapter that hosts policies."""
