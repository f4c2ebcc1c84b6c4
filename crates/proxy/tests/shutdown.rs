//! The times of a planned restart, against the platform's terms.

use trestlesill::shutdown::{Shutdown, DRAIN_WINDOW};

const MS: u64 = 1_000_000;

/// Guards against a process that is killed before it ends, and against requests without their time.
#[test]
fn a_process_ends_before_sigkill_and_gives_each_request_the_time_that_the_platform_waits_for() {
    for deadline_ms in [1, 50, 750, 1_000, 3_000, 5_000, 60_000] {
        let term = 7_000 * MS;
        let shutdown = Shutdown::new(term, deadline_ms * MS);
        let awaited = deadline_ms.min(3_000) * MS;
        let kill = term + awaited + 700 * MS;
        assert_eq!(shutdown.since(), term);
        // New connections come for 0.4 s.
        assert!(shutdown.gives_up_at() >= term + DRAIN_WINDOW.max(400 * MS) + awaited, "{deadline_ms} ms");
        assert!(shutdown.gives_up_at() + 100 * MS <= shutdown.ends_at(), "{deadline_ms} ms");
        assert!(shutdown.ends_at() + 100 * MS <= kill, "{deadline_ms} ms");
    }
}
