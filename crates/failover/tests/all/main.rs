//! Tests of the decision in common: one program, so that it is built once.

mod alone;
mod any;
mod believed;
mod bounds;
mod decisions;
mod dwell;
mod large;
mod planner;
mod storms;
mod world;
