//! Shadow traffic: some reads that the live boxes have answered are asked again of candidates, boxes that are not in
//! service yet, and the answers compared. A state machine without clock, socket or file.
//!
//! [`Shadow`] is told of each read that was served, and says which is to be copied, to which candidate and by when. It is
//! an observer: nothing that it says can refuse, delay or change a real answer. Its parts are the choice of keys
//! ([`sample`]), what copying may use ([`budget`]), how fast it goes and when it stops ([`ramp`]), the comparison
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

/// Times and spans, in nanoseconds.
pub type Nanos = u64;

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MS;
