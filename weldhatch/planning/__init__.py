"""Planning of fleet changes: plans, their validation, and the decisions while a plan is applied. No I/O."""
