//! Shadow traffic: a sample of the reads that live boxes have served is mirrored to candidates, which are boxes that
//! are not in service yet, and the answers are compared. This crate is a state machine without clock, sockets or files.
//!
//! [`Shadow`] is offered each served read and decides whether it is copied, to which candidate and with which deadline.
//! It only observes: it cannot reject, delay or change the answer to a client. Its parts are the sampling of keys
//! ([`sample`]), the budgets ([`budget`]), the ramp-up and the automatic stop ([`ramp`]), the comparison of answers
//! ([`compare`]) and the verdict ([`verdict`]).

pub mod budget;
pub mod compare;
mod machine;
pub mod promote;
pub mod ramp;
pub mod sample;
pub mod verdict;

pub use compare::{Difference, ReadOutcome, Tally};
pub use machine::{
    CommandError, CopyRequest, CopyResult, Counts, PersistedState, Read, Sample, Settings, Shadow,
    SkipReason, State, Status, SKIP_REASONS,
};
pub use ramp::{LiveLoad, Stop, Trouble};
pub use verdict::{Report, Verdict};

/// A time or a duration in nanoseconds.
pub type Nanos = u64;

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MS;
