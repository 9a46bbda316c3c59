//! One promise, kept by many balancers: without I/O, clock or unseeded chance.
//!
//! [`split::Split`] says what part of a tenant's guarantee, of the spare room or of a cold upstream's allowance this balancer
//! may grant. [`told::Figures`] is what balancers tell one another, [`caution::Caution`] what is made of ejections elsewhere,
//! [`wire`] how all of it stands in datagrams. Times are milliseconds on the own clock, which must go on while the process
//! is stopped. `docs/design/sharing.md` has the reasons and the bounds.

pub mod caution;
mod holds;
mod loans;
pub mod split;
pub mod told;
pub mod wire;

pub use loans::LOANS_MOST;

/// The whole of a promise, in the units in which parts of it are counted.
pub const UNIT: u32 = 1 << 24;
/// How often asks and figures are due, in milliseconds.
pub const PERIOD: u64 = 1_000;

/// A balancer's start, as `tier` knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Its name's hash.
    pub id: u64,
    /// The number of its start, which only rises.
    pub start: u64,
}

/// What kind of promise it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A tenant's guarantee.
    Tenant = 0,
    /// The spare room W of the fleet.
    Room = 1,
    /// What a cold upstream may be given: without a floor.
    Cold = 2,
}

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// The tenant, nil, or the upstream and its start, as a hash.
    pub subject: u64,
}

/// A balancer asks another one for so much of its part; what it held of that beyond `held` it has given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// The borrower.
    pub from: Member,
    /// The lender.
    pub to: Member,
    /// Of what.
    pub key: Key,
    /// Rises with each ask of the borrower's start.
    pub number: u64,
    /// How much is asked for in all, in [`UNIT`]s of the whole; nil gives all back.
    pub want: u32,
    /// How much the borrower goes on holding until it has an answer.
    pub held: u32,
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// The lender.
    pub from: Member,
    /// The borrower.
    pub to: Member,
    /// Of what.
    pub key: Key,
    /// The ask's number.
    pub number: u64,
    /// How much is lent, in place of all that was lent before.
    pub amount: u32,
    /// How much would be lent at the most once others have given back what is too much.
    pub offer: u32,
}
