//! Drains are kept under faults of system calls, signals and discovery (`testkit::drains`).

use std::time::Duration;
use testkit::drains::{Delivered, Delivery, DrainPlay, Incident};

/// Seeds of what is drawn; each is played.
const SEEDS: [u64; 3] = [1, 2, 3];
/// When an incident occurs: between two drains.
const INCIDENT_AT: Duration = Duration::from_millis(5_500);
/// How many requests a play has to serve for its result to mean something.
const MIN_SERVED: usize = 800;

/// The plays of these faults beside an incident, with each seed.
fn plays_of(delivery: Delivery, faults: &str, incident: Incident) -> Vec<DrainPlay> {
    SEEDS.map(|seed| DrainPlay { incident, ..DrainPlay::new(delivery, faults, seed) }).to_vec()
}

/// Plays all at once, and asserts that no request came too late to a draining node.
fn assert_drains_are_kept(plays: Vec<DrainPlay>) {
    let running: Vec<_> =
        plays.into_iter().map(|play| std::thread::spawn(move || (play.run(), play))).collect();
    let mut broken = Vec::new();
    for thread in running {
        let (outcome, play) = thread.join().expect("played");
        assert!(outcome.served >= MIN_SERVED, "{} served: {play:?}\n{}", outcome.served, outcome.log);
        if let Some(latest) = outcome.late.iter().map(|late| late.after).max() {
            broken.push(format!("{} late, the latest {latest:?}: {play:?}", outcome.late.len()));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a SIGHUP that is lost because the handler could not write to the event loop's socket.
#[test]
fn a_move_of_discovery_is_followed_while_the_signal_can_not_be_written() {
    let mut plays = Vec::new();
    for faults in ["send EINTR 1.0 family=unix after=2000", "send ENOBUFS 0.5 after=2000"] {
        for delivery in [Delivery::Pushed, Delivery::Polled] {
            plays.extend(plays_of(delivery, faults, Incident::DiscoveryMoves(INCIDENT_AT)));
        }
    }
    assert_drains_are_kept(plays);
}

/// Guards against an answer that was written, can't be read, and is asked for again after a backoff.
#[test]
fn an_answer_that_can_not_be_read_is_had_within_the_grace() {
    let mut plays = Vec::new();
    for error in ["ETIMEDOUT", "ENOBUFS", "ECONNRESET"] {
        let faults = format!("recv {error} 0.5 port=DISCOVERY");
        plays.extend(plays_of(Delivery::Polled, &faults, Incident::None));
    }
    let faults = "recv ETIMEDOUT 0.3 not-port=LISTEN after=4000";
    plays.extend(plays_of(Delivery::Polled, faults, Incident::DiscoveryMoves(INCIDENT_AT)));
    assert_drains_are_kept(plays);
}

/// Guards against an answer that was written, is lost on its way, and is asked for again after a backoff: two in a row.
#[test]
fn an_answer_that_is_lost_on_its_way_is_had_within_the_grace() {
    let mut plays = Vec::new();
    for (proxies, delivered) in [
        (1, Delivered::Lost(2)),
        (8, Delivered::Lost(2)),
        (1, Delivered::Halved(2)),
        (8, Delivered::Halved(2)),
        (300, Delivered::Halved(2)),
    ] {
        for delivery in [Delivery::Pushed, Delivery::Polled] {
            plays.push(DrainPlay { proxies, delivered, ..DrainPlay::new(delivery, "", 1) });
        }
    }
    assert_drains_are_kept(plays);
}

/// Guards against errors of this machine that count as failed calls to discovery and delay the next one.
#[test]
fn errors_of_this_machine_delay_no_call_to_discovery() {
    let mut plays = Vec::new();
    for faults in ["connect EADDRNOTAVAIL 0.5 after=4000", "socket ENFILE 0.5 after=4000"] {
        for play in plays_of(Delivery::Polled, faults, Incident::DiscoveryMoves(INCIDENT_AT)) {
            plays.push(DrainPlay { proxies: 8, ..play });
        }
    }
    assert_drains_are_kept(plays);
}

/// Guards against a discovery that is not believed once it numbers its versions from the beginning again.
#[test]
fn versions_that_begin_again_are_followed_within_the_grace() {
    let mut plays = Vec::new();
    for delivery in [Delivery::Pushed, Delivery::Polled] {
        plays.extend(plays_of(delivery, "", Incident::VersionsRestart(INCIDENT_AT)));
    }
    assert_drains_are_kept(plays);
}

/// Guards against drains that are counted by the wall clock.
#[test]
fn steps_of_the_wall_clock_delay_no_drain() {
    let mut plays = Vec::new();
    for delivery in [Delivery::Pushed, Delivery::Polled] {
        for step in [3_600, -3_600] {
            let faults = format!("clock step {step} after=4000");
            let incidents =
                [Incident::None, Incident::DiscoveryMoves(INCIDENT_AT), Incident::Killed(INCIDENT_AT)];
            for incident in incidents {
                plays.push(DrainPlay { incident, ..DrainPlay::new(delivery, &faults, 1) });
            }
            plays.push(DrainPlay::new(delivery, &format!("clock step {step}"), 1));
        }
    }
    assert_drains_are_kept(plays);
}

/// Guards against spans of time that are taken from the wall clock: a process whose reads of it fail after the start would end.
#[test]
fn the_wall_clock_is_not_read_after_the_start() {
    let faults = "clock EINVAL 1.0 after=2500";
    let plays = [Delivery::Pushed, Delivery::Polled].into_iter().map(|delivery| DrainPlay {
        incident: Incident::DiscoveryMoves(INCIDENT_AT),
        ..DrainPlay::new(delivery, faults, 1)
    });
    assert_drains_are_kept(plays.collect());
}
