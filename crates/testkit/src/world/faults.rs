//! Fault injection: faults and scripts of timed faults.

use super::boxes::CacheBox;
use super::discovery::{Discovery, Health, Mode};
use super::doors::ListenerFault;
use super::network::Network;
use super::origin::Origin;
use super::speech::Speech;
use std::sync::Arc;
use std::time::Duration;

/// Time from the publication of a drain until the box rejects new requests.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// A fault. Boxes and zones are given by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A box accepts requests without answering.
    Silent(usize),
    /// A box's process is down and its connections are reset. At the end of the fault it starts again, with slow start
    /// if configured, and discovery publishes the restart.
    Down(usize),
    /// A box resets the connection instead of a reply, with this probability.
    Resets(usize, f64),
    /// A box sends malformed replies, with this probability.
    Spoils(usize, f64),
    /// Discovery publishes that a box drains; 500 ms later the box rejects new requests.
    Drain(usize),
    /// A zone is partitioned from all others.
    Cut(usize),
    /// Discovery is in this mode.
    Discovery(Mode),
    /// The origin stops processing.
    Origin,
    /// An additional listener of a box, by number, has this fault mode.
    Door(usize, usize, ListenerFault),
    /// A box's process stops and starts again with another protocol version; discovery publishes the restart.
    Upgrade(usize, Speech),
}

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Start, relative to the start of the script.
    pub at: Duration,
    /// Duration; `None` for a permanent fault.
    pub lasts: Option<Duration>,
    /// The fault.
    pub fault: Fault,
}

/// A list of timed faults, which may overlap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Timed faults in order of insertion.
    pub steps: Vec<Step>,
}

impl Script {
    /// Creates a script without faults.
    pub fn new() -> Self {
        Script::default()
    }

    /// Adds a fault that starts at `at` and lasts for `lasts`.
    pub fn then(mut self, at: Duration, lasts: Duration, fault: Fault) -> Self {
        self.steps.push(Step { at, lasts: Some(lasts), fault });
        self
    }

    /// Adds a permanent fault that starts at `at`.
    pub fn permanently(mut self, at: Duration, fault: Fault) -> Self {
        self.steps.push(Step { at, lasts: None, fault });
        self
    }

    /// Generates `count` random faults within `span`, deterministic for a seed. Each lasts for 10 % to 33 % of the span.
    pub fn random(seed: u64, count: usize, boxes: usize, zones: usize, span: Duration) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let steps = (0..count).map(|_| {
            let at = span.mul_f64(rng.f64() * 0.6);
            let lasts = Some(span.mul_f64(0.1 + 0.23 * rng.f64()));
            let one = rng.usize(..boxes.max(1));
            let fault = match rng.u8(..8) {
                0 | 1 => Fault::Silent(one),
                2 => Fault::Down(one),
                3 => Fault::Resets(one, 0.1 + 0.4 * rng.f64()),
                4 => Fault::Spoils(one, 0.1 + 0.4 * rng.f64()),
                5 => Fault::Drain(one),
                6 => Fault::Cut(rng.usize(..zones.max(1))),
                _ => Fault::Discovery([Mode::Unavailable, Mode::Down, Mode::Silent][rng.usize(..3)]),
            };
            Step { at, lasts, fault }
        });
        Script { steps: steps.collect() }
    }
}

/// Starts a fault (`on`) or ends it.
pub(super) fn set(
    fault: &Fault,
    on: bool,
    boxes: &[Arc<CacheBox>],
    network: &Network,
    discovery: &Arc<Discovery>,
    origin: &Origin,
) {
    let probability = |p: f64| if on { p } else { 0.0 };
    let at = |i: usize| &boxes[i % boxes.len()];
    match *fault {
        Fault::Silent(i) => at(i).silent(on),
        Fault::Down(i) => {
            at(i).down(on);
            if !on {
                discovery.reborn(&at(i).config.name);
            }
        }
        Fault::Upgrade(i, speech) => {
            at(i).speaks(speech);
            at(i).down(on);
            if !on {
                discovery.reborn(&at(i).config.name);
            }
        }
        Fault::Resets(i, p) => at(i).resets(probability(p)),
        Fault::Spoils(i, p) => at(i).spoils(probability(p)),
        Fault::Drain(i) => {
            let (one, discovery) = (at(i).clone(), discovery.clone());
            tokio::task::spawn_local(async move {
                let health = if on { Health::Draining } else { Health::Up };
                if !on {
                    one.draining(false);
                }
                discovery.set_after_lag(&one.config.name, health).await;
                if on {
                    tokio::time::sleep(DRAIN_DELAY).await;
                    one.draining(true);
                }
            });
        }
        Fault::Door(i, door, manner) => {
            at(i).doors[door].behaves(if on { manner } else { ListenerFault::Well });
        }
        Fault::Cut(zone) => network.cut(zone, on),
        Fault::Discovery(mode) => discovery.mode(if on { mode } else { Mode::Well }),
        Fault::Origin => origin.stop(on),
    }
}
