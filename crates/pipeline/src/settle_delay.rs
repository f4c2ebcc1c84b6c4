//! How long a connection waits after an answer before it carries the next command.

use crate::Nanos;

const MS: Nanos = 1_000_000;

/// The time after an answer during which further bytes on its connection are recognised as unsolicited.
///
/// RESP answers carry no ids: a duplicate answer that arrives once the next command is written passes for the answer to
/// that command. While nothing is in flight it can only be unsolicited, so the next command is not written before the
/// settle delay is over.
///
/// Boxes are known to send a second answer some milliseconds late. An unsolicited answer that comes later than the settle
/// delay lengthens it. What comes once the next command is written is left to [`crate::ForeignReplyDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleDelay {
    duration: Nanos,
}

impl SettleDelay {
    /// No settle delay; unsolicited bytes do not lengthen it.
    pub const NONE: SettleDelay = SettleDelay { duration: 0 };
    /// The default initial delay.
    pub const INITIAL: Nanos = 5 * MS;
    /// The longest delay. Later bytes are not a second answer, but unsolicited for some other reason.
    pub const MAX: Nanos = 50 * MS;

    /// This initial delay, or [`SettleDelay::INITIAL`] for `None`.
    pub fn new(configured: Option<Nanos>) -> SettleDelay {
        SettleDelay { duration: configured.unwrap_or(SettleDelay::INITIAL) }
    }

    /// The current delay.
    pub fn duration(self) -> Nanos {
        self.duration
    }

    /// This delay, lengthened to one learned under another configuration; [`SettleDelay::NONE`] stays as it is.
    pub fn with_learned(self, learned: SettleDelay) -> SettleDelay {
        if self == SettleDelay::NONE {
            self
        } else {
            SettleDelay { duration: self.duration.max(learned.duration) }
        }
    }

    /// Unsolicited bytes arrived this long after the answer.
    pub fn record_unsolicited(&mut self, after: Nanos) {
        if self.duration > 0 && after <= SettleDelay::MAX {
            // A quarter more than the latest seen, since few arrive close to the upper bound of the lateness.
            self.duration = self.duration.max((after + after / 4).min(SettleDelay::MAX));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unsolicited_bytes_lengthen_the_settle_delay_up_to_a_maximum() {
        let mut delay = SettleDelay::new(None);
        for after in [0, MS, 4 * MS, 4 * MS] {
            delay.record_unsolicited(after);
            assert_eq!(delay.duration(), SettleDelay::INITIAL);
        }
        delay.record_unsolicited(8 * MS);
        assert_eq!(delay.duration(), 10 * MS);
        delay.record_unsolicited(2 * MS);
        assert_eq!(delay.duration(), 10 * MS);
        delay.record_unsolicited(SettleDelay::MAX + 1);
        assert_eq!(delay.duration(), 10 * MS);
        delay.record_unsolicited(SettleDelay::MAX);
        assert_eq!(delay.duration(), SettleDelay::MAX);
        // Another configuration keeps the learned delay. Switched off, it stays off.
        assert_eq!(SettleDelay::new(None).with_learned(delay), delay);
        assert_eq!(SettleDelay::new(None).with_learned(SettleDelay::NONE), SettleDelay::new(None));
        assert_eq!(SettleDelay::NONE.with_learned(delay), SettleDelay::NONE);
        let mut none = SettleDelay::NONE;
        none.record_unsolicited(20 * MS);
        assert_eq!(none.duration(), 0);
    }
}
