//! Admission of connections: who is let in, who is refused with a word, and who has to go when all places
//! are taken. No I/O, no clock, no chance: the embedder says what happens and when, and does what is answered.
//!
//! | module | its job |
//! | --- | --- |
//! | [`door`] | the places: what is decided at each accept, request and answer |
//! | [`policy`] | what the operator sets, with ranges |
//! | [`address`] | addresses and prefixes |
//! | [`token`] | the signed word by which a client is known |
//! | [`budget`] | how many descriptors each part of a process may hold |
//!
//! # The rules of the door
//!
//! 1. A connection that holds a request that is owed its answer is never ended.
//! 2. The reserve belongs to known clients: an unknown one never takes its last places.
//! 3. When there is no place, the one goes with which least is lost: first what has said nothing for long, or
//!    half of something and no more for long, then what has only asked after our health, then who has been idle
//!    for long, then the younger ones, and last whoever is still writing. Unknown clients go before known ones.
//! 4. An address is judged by what its connections do, not by how many they are: only those that have not
//!    yet asked for anything fit count against its cap, and those that ask give back what they took of its
//!    rate. So a lodge's shared address may hold all the open places with walkers that book.
//! 5. Each decision takes a bounded time, and memory is bounded whatever the number of addresses.
//!
//! # Example
//!
//! ```
//! use maplehook_admission::{Arrival, Door, Policy};
//! use std::time::Duration;
//!
//! let mut door = Door::new(Policy::default(), 2, &[], 7);
//! let now = Duration::ZERO;
//! let lodge = "192.0.2.1".parse().unwrap();
//! let Arrival::Kept { id, ends: None } = door.arrive(now, lodge) else { panic!("there is room") };
//! door.held(now, id, None, false);
//! // It is owed its answer now: whoever comes, it stays.
//! let Arrival::Kept { .. } = door.arrive(now, lodge) else { panic!("there is room") };
//! let Arrival::Kept { ends: Some(ended), .. } = door.arrive(now, lodge) else { panic!("one goes") };
//! assert_ne!(ended, id);
//! ```

pub mod address;
pub mod budget;
pub mod door;
mod links;
mod peers;
pub mod policy;
pub mod refusal;
pub mod token;

pub use budget::{Budget, Part};
pub use door::{After, Arrival, ConnId, Door};
pub use policy::{Policy, PolicyError};
pub use refusal::{Reason, Refusal};
