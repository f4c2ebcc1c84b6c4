//! The end of a process after SIGTERM: when it stops taking requests, gives up those that are open, and exits. No sockets here.
//!
//! The platform's terms: new connections come for up to 0.4 s after SIGTERM, and clients use those that they have. SIGKILL
//! comes no sooner than the longest deadline (up to 3 s) plus 0.7 s after SIGTERM. What has been taken until then and
//! is not answered is lost.

use calicosaddle::api::Nanos;

const MS: Nanos = 1_000_000;
/// How long the proxy accepts clients after SIGTERM or a controller's drain.
pub const DRAIN_WINDOW: Nanos = 450 * MS;
/// The longest deadline that the platform waits for.
const MAX_AWAITED_DEADLINE: Nanos = 3_000 * MS;
/// The process ends the longest awaited deadline plus this long after SIGTERM, because SIGKILL follows 100 ms later.
const EXIT_GRACE: Nanos = 600 * MS;

/// The end of a process after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    since: Nanos,
    longest_deadline: Nanos,
}

impl Shutdown {
    /// The end of a process that got SIGTERM at `since`, and whose requests may take up to `longest_deadline`.
    pub fn new(since: Nanos, longest_deadline: Nanos) -> Self {
        Shutdown { since, longest_deadline: longest_deadline.min(MAX_AWAITED_DEADLINE) }
    }

    /// When SIGTERM came.
    pub fn since(&self) -> Nanos {
        self.since
    }

    /// When open requests are given up. Each one that was taken before the end of the drain window has had its whole time, up to
    /// the longest that the platform waits for; the rest is for writing the answers.
    pub fn gives_up_at(&self) -> Nanos {
        self.since + self.longest_deadline + DRAIN_WINDOW
    }

    /// When the process ends, whatever is open.
    pub fn ends_at(&self) -> Nanos {
        self.since + self.longest_deadline + EXIT_GRACE
    }
}
