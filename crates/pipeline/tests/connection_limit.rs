//! What is learned from connections that a box refuses.

use pipeline::ConnectionLimit;

const MS: u64 = 1_000_000;

#[test]
fn a_refusal_beside_an_open_connection_sets_the_limit_and_one_more_connection_lifts_it() {
    let mut limit = ConnectionLimit::default();
    assert!(limit.allows(0, 0) && limit.allows(100, 0));
    // A refusal without an open connection may come from a box that is down, and sets no limit.
    limit.record_refused(0, MS);
    assert!(limit.allows(7, MS));
    limit.record_refused(3, 10 * MS);
    assert!(limit.allows(2, 11 * MS) && !limit.allows(3, 11 * MS) && !limit.allows(9, 259 * MS));
    // A further refusal during the pause does not extend it.
    limit.record_refused(3, 12 * MS);
    assert!(!limit.allows(3, 259 * MS) && limit.allows(3, 260 * MS));
    // Each refusal after a pause doubles the next pause, up to 30 s.
    limit.record_refused(3, 261 * MS);
    assert!(!limit.allows(3, 760 * MS) && limit.allows(3, 761 * MS));
    let mut now = 761 * MS;
    for _ in 0..12 {
        limit.record_refused(3, now);
        now += 30_000 * MS;
        assert!(limit.allows(3, now));
    }
    limit.record_refused(3, now);
    assert!(!limit.allows(3, now + 29_999 * MS));
    // A connection beyond the limit that answers lifts it.
    limit.record_answering(3);
    assert!(!limit.allows(3, now));
    limit.record_answering(4);
    assert!(limit.allows(50, now));
}
