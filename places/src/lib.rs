//! A balancer reports what it sees of zones, and acts by the plan that is agreed on.
