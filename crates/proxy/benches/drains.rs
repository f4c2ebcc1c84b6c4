//! Plays drains under faults (`testkit::drains`) and prints, for each fault, how many requests came to draining nodes too late.
//! Arguments choose the rows whose names contain one of them; `SEEDS` is the number of seeds of each row.

use std::time::{Duration, Instant};
use testkit::drains::{Delivery, DrainOutcome, DrainPlay, Incident};

/// How many plays run at once.
const PARALLEL_PLAYS: usize = 8;
/// When an incident occurs: between two drains.
const INCIDENT_AT: Duration = Duration::from_millis(5_500);

/// A row: a name, the faults, and what happens beside.
type Row = (&'static str, &'static str, Incident);

/// What is played.
const ROWS: [Row; 30] = [
    ("no fault", "", Incident::None),
    ("step 3600", "clock step 3600 after=4000", Incident::None),
    ("step -3600", "clock step -3600 after=4000", Incident::None),
    ("step 5", "clock step 5 after=4000", Incident::None),
    ("off 3600", "clock step 3600", Incident::None),
    ("off -3600", "clock step -3600", Incident::None),
    ("before 1970", "clock step -2000000000", Incident::None),
    ("step, SIGHUP", "clock step 3600 after=4000", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("step, killed", "clock step -3600 after=4000", Incident::Killed(INCIDENT_AT)),
    ("step, versions", "clock step -3600 after=4000", Incident::VersionsRestart(INCIDENT_AT)),
    ("SIGHUP", "", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("killed", "", Incident::Killed(INCIDENT_AT)),
    ("versions", "", Incident::VersionsRestart(INCIDENT_AT)),
    ("recv ETIMEDOUT", "recv ETIMEDOUT 0.5 port=DISCOVERY", Incident::None),
    ("recv ECONNRESET", "recv ECONNRESET 0.5 port=DISCOVERY", Incident::None),
    ("recv EHOSTUNREACH", "recv EHOSTUNREACH 0.3 port=DISCOVERY", Incident::None),
    ("recv ENOBUFS", "recv ENOBUFS 0.5 port=DISCOVERY", Incident::None),
    ("step, recv ETIMEDOUT", "clock step 3600 after=4000; recv ETIMEDOUT 0.3 port=DISCOVERY", Incident::None),
    ("send ENOBUFS", "send ENOBUFS 0.5 port=DISCOVERY", Incident::None),
    ("send ETIMEDOUT", "send ETIMEDOUT 0.5 port=DISCOVERY", Incident::None),
    ("SIGHUP, send ENOBUFS", "send ENOBUFS 0.5", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("SIGHUP, send EINTR", "send EINTR 0.5", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("SIGHUP, send EAGAIN", "send EAGAIN 0.5", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("SIGHUP, open", "open ENFILE 0.8 after=4000", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("SIGHUP, connect", "connect EADDRNOTAVAIL 0.5 after=4000", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("SIGHUP, socket", "socket ENFILE 0.5 after=4000", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("SIGHUP, recv", "recv ETIMEDOUT 0.3 not-port=LISTEN after=4000", Incident::DiscoveryMoves(INCIDENT_AT)),
    ("connect ENETUNREACH", "connect ENETUNREACH 0.5 after=2000", Incident::None),
    ("short", "recv short 0.5; send short 0.5", Incident::None),
    ("wait EINTR", "epoll_wait EINTR 0.8", Incident::None),
];

/// Plays a row with a seed.
fn play(row: &Row, delivery: Delivery, proxies: u32, seed: u64) -> DrainOutcome {
    let play = DrainPlay { incident: row.2, proxies, ..DrainPlay::new(delivery, row.1, seed) };
    play.run()
}

fn main() {
    let chosen: Vec<String> = std::env::args().skip(1).filter(|word| !word.starts_with("--")).collect();
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(1);
    let began = Instant::now();
    let mut plays = Vec::new();
    for row in ROWS.iter().filter(|row| chosen.is_empty() || chosen.iter().any(|word| row.0 == word)) {
        for delivery in [Delivery::Pushed, Delivery::Polled] {
            for proxies in [1, 8] {
                plays.extend((1..=seeds).map(|seed| (row, delivery, proxies, seed)));
            }
        }
    }
    println!("row | delivery | proxies | seed | late | longest ms | served | at nodes | calls");
    for part in plays.chunks(PARALLEL_PLAYS) {
        let threads: Vec<_> = part
            .iter()
            .map(|&(row, delivery, proxies, seed)| {
                std::thread::spawn(move || play(row, delivery, proxies, seed))
            })
            .collect();
        for (thread, (row, delivery, proxies, seed)) in threads.into_iter().zip(part) {
            let Ok(outcome) = thread.join() else {
                println!("{} | {delivery:?} | {proxies} | {seed} | the play failed", row.0);
                continue;
            };
            let longest = outcome.late.iter().map(|late| late.after).max().unwrap_or_default();
            println!(
                "{} | {delivery:?} | {proxies} | {seed} | {} | {} | {} | {} | {}",
                row.0,
                outcome.late.len(),
                longest.as_millis(),
                outcome.served,
                outcome.arrived,
                outcome.calls
            );
        }
    }
    eprintln!("{} plays in {:?}", plays.len(), began.elapsed());
}
