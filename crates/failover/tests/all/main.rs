//! Tests of the failover decisions, built as one test binary.

mod arbitrary_reports;
mod bounds;
mod disconnected;
mod dwell_times;
mod implausible_reports;
mod orders_and_leaders;
mod planner;
mod scale;
mod simulation;
mod zone_failures;
