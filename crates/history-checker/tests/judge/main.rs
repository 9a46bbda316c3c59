//! Rules against planted, generated and mutated histories.

mod any;
mod draw;
mod kept;
mod mutated;
mod planted;
mod planted_addresses;
mod planted_requests;
mod shrinking;
