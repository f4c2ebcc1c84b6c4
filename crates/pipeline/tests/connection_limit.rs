//! What is learned from connections that a box refuses.

use pipeline::ConnectionLimit;

const MS: u64 = 1_000_000;

#[test]
fn a_refusal_beside_one_that_holds_closes_the_room_and_one_try_opens_it_again() {
    let mut room = ConnectionLimit::default();
    assert!(room.allows(0, 0) && room.allows(100, 0));
    // A box that is down says nothing of its places.
    room.record_refused(0, MS);
    assert!(room.allows(7, MS));
    room.record_refused(3, 10 * MS);
    assert!(room.allows(2, 11 * MS) && !room.allows(3, 11 * MS) && !room.allows(9, 259 * MS));
    // Others that were under way in the same moment are no further news.
    room.record_refused(3, 12 * MS);
    assert!(!room.allows(3, 259 * MS) && room.allows(3, 260 * MS));
    // Each further try that fails waits twice as long, up to half a minute.
    room.record_refused(3, 261 * MS);
    assert!(!room.allows(3, 760 * MS) && room.allows(3, 761 * MS));
    let mut now = 761 * MS;
    for _ in 0..12 {
        room.record_refused(3, now);
        now += 30_000 * MS;
        assert!(room.allows(3, now));
    }
    room.record_refused(3, now);
    assert!(!room.allows(3, now + 29_999 * MS));
    // One more that answers shows that there is room.
    room.record_answering(3);
    assert!(!room.allows(3, now));
    room.record_answering(4);
    assert!(room.allows(50, now));
}
