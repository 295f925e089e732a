"""A small specification of the core protocol, checked by z3."""
