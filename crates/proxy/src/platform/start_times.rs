//! When the processes of cache nodes were started, by this proxy's own clock.
//!
//! Discovery tells it as Unix time. The wall clock of this machine may be off, so what is known without it comes first: a
//! process did not start after it was listed, nor long before the first list that has it, if the list before did not.

use calicosaddle::api::{Nanos, ServerEntry, ServerId, ServerState};
use rustc_hash::FxHashMap;

/// How long before it is listed a process may have been started, as far as the clock is not needed to tell.
const LISTING_DELAY: Nanos = 2_000_000_000;
/// Processes that have left the list are remembered up to this number.
const MAX_REMOVED: usize = 1_024;

/// The start of a process.
#[derive(Clone, Copy, Debug)]
struct ProcessStart {
    /// As discovery tells it. Another value is another process.
    stated: Nanos,
    /// By this proxy's clock.
    started_at: Nanos,
}

/// The processes of the listed nodes.
#[derive(Debug, Default)]
pub struct StartTimes {
    processes: FxHashMap<ServerId, ProcessStart>,
    /// How many of them have left the list.
    removed: usize,
}

impl StartTimes {
    /// Replaces the stated start in an entry by the one that is to be used. `unlisted_until` is when the list was last known not
    /// to have the changes that this entry is one of; `None` if that is not known, as after a start.
    pub fn correct(&mut self, entry: &mut ServerEntry, unlisted_until: Option<Nanos>, now: Nanos) {
        let stated = entry.started_at;
        if entry.state == ServerState::Removed {
            self.forget_if_many(entry.server);
        }
        if stated == 0 {
            // It was started long ago.
            return;
        }
        let known = self.processes.get(&entry.server).filter(|process| process.stated == stated);
        let started_at = match known {
            Some(process) => process.started_at,
            None => {
                let earliest = unlisted_until.map_or(0, |until| until.saturating_sub(LISTING_DELAY));
                stated.max(earliest).min(now)
            }
        };
        entry.started_at = started_at;
        if entry.state != ServerState::Removed {
            self.processes.insert(entry.server, ProcessStart { stated, started_at });
        }
    }

    /// Forgets a process that has left the list, if many have. One that returns is taken for one that has just started.
    fn forget_if_many(&mut self, server: ServerId) {
        self.removed += 1;
        if self.removed > MAX_REMOVED {
            self.processes.remove(&server);
        }
    }
}
