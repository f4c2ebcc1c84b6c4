//! A discrete-event model of the whole installation in virtual time: clients behind a front layer, proxies that host
//! the shipped decision module (or another policy by the same interface), cache boxes, the origin ledger, discovery,
//! zones. No sockets, no clock, no threads: one seed gives one run, and what is judged is what was recorded at both
//! ends. What it leaves out is said in `docs/design/lab.md`.

mod arrivals;
mod baseline_policies;
mod boxes;
mod copies;
mod discovery;
mod host;
mod judge;
mod origin;
mod policy;
mod random;
mod scenario;
mod sim;
mod summary;

pub use arrivals::{Arrival, Arrivals};
pub use baseline_policies::{make, NAMES};
pub use judge::{Breach, Rule};
pub use policy::{Policy, Truth};
pub use random::RandomSource;
pub use scenario::{Fault, FaultSpec, Holds, Kind, Problem, Scenario, Which, VERSION};
pub use sim::{run, run_with, Options};
pub use summary::{Ended, Gathered, Second, Summary, SCHEMA};

/// Nanoseconds.
pub type Nanos = calicosaddle::api::Nanos;
pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MS;

pub(crate) fn millis(ms: f64) -> Nanos {
    (ms * MS as f64) as Nanos
}

pub(crate) fn seconds(s: f64) -> Nanos {
    (s * SECOND as f64) as Nanos
}
