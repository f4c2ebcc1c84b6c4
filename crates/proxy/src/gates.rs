//! Gates: checks that an arriving request passes before the balancer sees it. They are listed here once, in the order
//! in which they apply.

use crate::request::Query;

/// The maximum number of requests open at once; each takes about a kilobyte.
const MAX_OPEN_REQUESTS: usize = 8_192;

/// A gate's decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request continues.
    Pass,
    /// The request is refused; nothing has been done for it.
    Refuse,
}

/// May refuse an arriving request before the balancer sees it. Refusing is always safe at this point, because no
/// attempt has been made.
pub trait Gate {
    /// Decides on a request that arrives while `open` requests are open.
    fn check(&mut self, query: &Query, open: usize) -> Verdict;
}

/// Limits the number of open requests.
#[derive(Debug)]
pub struct OpenRequestLimit {
    max: usize,
}

impl Gate for OpenRequestLimit {
    fn check(&mut self, _: &Query, open: usize) -> Verdict {
        if open < self.max {
            Verdict::Pass
        } else {
            Verdict::Refuse
        }
    }
}

/// All gates.
#[derive(Debug)]
pub struct Gates {
    open_requests: OpenRequestLimit,
}

impl Gates {
    /// Gates for a configuration that allows `max_open` open requests.
    pub fn new(max_open: usize) -> Self {
        Gates { open_requests: OpenRequestLimit { max: max_open.min(MAX_OPEN_REQUESTS) } }
    }

    /// Applies the gates in order, up to the first that refuses the request.
    pub fn check(&mut self, query: &Query, open: usize) -> Verdict {
        self.open_requests.check(query, open)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::config::tests::sample;
    use crate::request::tests::query;

    #[test]
    fn an_arrival_beyond_the_open_request_limit_is_refused() {
        let query = query(&sample());
        for (max_open, open, verdict) in [
            (2, 1, Verdict::Pass),
            (2, 2, Verdict::Refuse),
            (usize::MAX, MAX_OPEN_REQUESTS - 1, Verdict::Pass),
            (usize::MAX, MAX_OPEN_REQUESTS, Verdict::Refuse),
        ] {
            assert_eq!(Gates::new(max_open).check(&query, open), verdict, "{open} of {max_open}");
        }
    }
}
