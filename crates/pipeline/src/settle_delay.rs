//! How long a connection rests after an answer before it carries the next command.

use crate::Nanos;

const MS: Nanos = 1_000_000;

/// For how long after an answer whatever comes on its connection is known to be too much.
///
/// RESP has no ids: a copy of an answer that comes once the next command is written passes for that command's. While
/// nothing is out it can only be a surplus, so the next command is not written before the rest is over.
///
/// Boxes are known to send a second answer some milliseconds late. [`SettleDelay::INITIAL`] covers what was measured of them, and one
/// that came later, seen while nothing was out, makes the rest as much longer. What is later than a rest still passes: a
/// rest narrows, and only ids would close it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleDelay {
    span: Nanos,
}

impl SettleDelay {
    /// No rest at all, whatever is seen.
    pub const NONE: SettleDelay = SettleDelay { span: 0 };
    /// At first: all 33 second answers of a day of 300 proxies came 1 to 4 ms behind the first one.
    pub const INITIAL: Nanos = 5 * MS;
    /// At the most. What comes later than that is no second answer, but something that a box says by itself.
    pub const MAX: Nanos = 50 * MS;

    /// So long at first; nothing: as [`SettleDelay::INITIAL`] has it.
    pub fn new(told: Option<Nanos>) -> SettleDelay {
        SettleDelay { span: told.unwrap_or(SettleDelay::INITIAL) }
    }

    /// So long.
    pub fn duration(self) -> Nanos {
        self.span
    }

    /// The same, as long at the least as what was learned before under another configuration; none stays none.
    pub fn with_learned(self, learned: SettleDelay) -> SettleDelay {
        if self == SettleDelay::NONE {
            self
        } else {
            SettleDelay { span: self.span.max(learned.span) }
        }
    }

    /// Something too much came so long after the answer, while nothing was out.
    pub fn record_unsolicited(&mut self, after: Nanos) {
        if self.span > 0 && after <= SettleDelay::MAX {
            // A quarter more than the latest: what comes is spread evenly up to some bound, of which little is seen.
            self.span = self.span.max((after + after / 4).min(SettleDelay::MAX));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rest_grows_with_what_came_too_late_for_it_up_to_a_bound() {
        let mut rest = SettleDelay::new(None);
        for after in [0, MS, 4 * MS, 4 * MS] {
            rest.record_unsolicited(after);
            assert_eq!(rest.duration(), SettleDelay::INITIAL);
        }
        rest.record_unsolicited(8 * MS);
        assert_eq!(rest.duration(), 10 * MS);
        rest.record_unsolicited(2 * MS);
        assert_eq!(rest.duration(), 10 * MS);
        rest.record_unsolicited(SettleDelay::MAX + 1);
        assert_eq!(rest.duration(), 10 * MS);
        rest.record_unsolicited(SettleDelay::MAX);
        assert_eq!(rest.duration(), SettleDelay::MAX);
        // Another configuration keeps what was learned. Switched off, it stays off.
        assert_eq!(SettleDelay::new(None).with_learned(rest), rest);
        assert_eq!(SettleDelay::new(None).with_learned(SettleDelay::NONE), SettleDelay::new(None));
        assert_eq!(SettleDelay::NONE.with_learned(rest), SettleDelay::NONE);
        let mut none = SettleDelay::NONE;
        none.record_unsolicited(20 * MS);
        assert_eq!(none.duration(), 0);
    }
}
