//! The version of the list in force, and which lists may replace it.
//!
//! One discovery numbers its lists in order, so a list of a lower version is a late copy of an old answer, or discovery numbers its
//! versions from the beginning again. Which of them it is, the order of connections tells: what is answered on a connection that
//! was begun after the list in force had been received can't be older than that list.

use super::list::ListUpdate;
use calicosaddle::api::Nanos;

/// So many lists of lower versions in a row are rejected where the list in force did not come from this discovery, but from the
/// configuration; the next full one is accepted.
const MAX_REJECTED_LISTS: u32 = 3;

/// The version of the list in force.
#[derive(Debug)]
pub struct ListVersion {
    version: Option<u64>,
    /// When it was received from discovery; `None` if it is from the configuration.
    received_at: Option<Nanos>,
    /// The first answer of a lower version that is no late copy.
    lower: Option<LowerVersion>,
    /// Lists of lower versions in a row.
    rejected: u32,
}

/// A version that is lower than that of the list in force.
#[derive(Clone, Copy, Debug)]
struct LowerVersion {
    version: u64,
    received_at: Nanos,
}

impl ListVersion {
    /// The version of a list from the configuration.
    pub fn configured(version: Option<u64>) -> Self {
        ListVersion { version, received_at: None, lower: None, rejected: 0 }
    }

    /// The version; `None` if no list is in force.
    pub fn get(&self) -> Option<u64> {
        self.version
    }

    /// The version whose changes the next call asks for; `None` if it asks for the full list.
    pub fn since(&self) -> Option<u64> {
        self.version.filter(|_| self.lower.is_none())
    }

    /// Whether a list takes the place of the one in force. `call_began` is when the connection that it came on was begun.
    ///
    /// A lower version is confirmed by a second, full list, on a connection that was begun after the first one had been received.
    pub fn accepts(&mut self, update: &ListUpdate, call_began: Nanos, now: Nanos) -> bool {
        if self.version.is_none_or(|current| update.version >= current) {
            return true;
        }
        self.rejected += 1;
        match (self.received_at, self.lower) {
            (None, _) => update.full && self.rejected > MAX_REJECTED_LISTS,
            // A late copy.
            (Some(received_at), _) if call_began < received_at => false,
            (Some(_), Some(lower)) if update.version >= lower.version => {
                update.full && call_began >= lower.received_at
            }
            (Some(_), _) => {
                self.lower = Some(LowerVersion { version: update.version, received_at: now });
                false
            }
        }
    }

    /// Notes that a list is in force from now on.
    pub fn replace(&mut self, version: u64, now: Nanos) {
        *self = ListVersion { version: Some(version), received_at: Some(now), lower: None, rejected: 0 };
    }
}
