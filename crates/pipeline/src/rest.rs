//! How long a connection rests after an answer before it carries the next command.

use crate::Nanos;

const MS: Nanos = 1_000_000;

/// For how long after an answer whatever comes on its connection is known to be too much.
///
/// RESP has no ids: a copy of an answer that comes once the next command is written passes for that command's. While
/// nothing is out it can only be a surplus, so the next command is not written before the rest is over.
///
/// Boxes are known to send a second answer some milliseconds late. [`Rest::FIRST`] covers what was measured of them, and one
/// that came later, seen while nothing was out, makes the rest as much longer. What is later than a rest still passes: a
/// rest narrows, and only ids would close it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    span: Nanos,
}

impl Rest {
    /// No rest at all, whatever is seen.
    pub const NONE: Rest = Rest { span: 0 };
    /// At first: all 33 second answers of a day of 300 proxies came 1 to 4 ms behind the first one.
    pub const FIRST: Nanos = 5 * MS;
    /// At the most. What comes later than that is no second answer, but something that a box says by itself.
    pub const MOST: Nanos = 50 * MS;

    /// So long at first; nothing: as [`Rest::FIRST`] has it.
    pub fn new(told: Option<Nanos>) -> Rest {
        Rest { span: told.unwrap_or(Rest::FIRST) }
    }

    /// So long.
    pub fn span(self) -> Nanos {
        self.span
    }

    /// The same, as long at the least as what was learned before under another configuration; none stays none.
    pub fn keeping(self, learned: Rest) -> Rest {
        if self == Rest::NONE {
            self
        } else {
            Rest { span: self.span.max(learned.span) }
        }
    }

    /// Something too much came so long after the answer, while nothing was out.
    pub fn surplus(&mut self, after: Nanos) {
        if self.span > 0 && after <= Rest::MOST {
            // A quarter more than the latest: what comes is spread evenly up to some bound, of which little is seen.
            self.span = self.span.max((after + after / 4).min(Rest::MOST));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rest_grows_with_what_came_too_late_for_it_up_to_a_bound() {
        let mut rest = Rest::new(None);
        for after in [0, MS, 4 * MS, 4 * MS] {
            rest.surplus(after);
            assert_eq!(rest.span(), Rest::FIRST);
        }
        rest.surplus(8 * MS);
        assert_eq!(rest.span(), 10 * MS);
        rest.surplus(2 * MS);
        assert_eq!(rest.span(), 10 * MS);
        rest.surplus(Rest::MOST + 1);
        assert_eq!(rest.span(), 10 * MS);
        rest.surplus(Rest::MOST);
        assert_eq!(rest.span(), Rest::MOST);
        // Another configuration keeps what was learned. Switched off, it stays off.
        assert_eq!(Rest::new(None).keeping(rest), rest);
        assert_eq!(Rest::new(None).keeping(Rest::NONE), Rest::new(None));
        assert_eq!(Rest::NONE.keeping(rest), Rest::NONE);
        let mut none = Rest::NONE;
        none.surplus(20 * MS);
        assert_eq!(none.span(), 0);
    }
}
