//! The load generator against healthy and faulty servers.

use clap::Parser;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testkit::scripted::{answering, cached};
use trestlelab::load::{run, Args, Outcome};

#[derive(Parser)]
struct Line {
    #[command(flatten)]
    args: Args,
}

fn load(at: SocketAddr, rest: &str) -> Outcome {
    let line = format!("load {at} {rest}");
    run(&Line::try_parse_from(line.split_whitespace()).unwrap_or_else(|e| panic!("{e}")).args).expect("run").0
}

#[test]
fn a_healthy_server_answers_all_requests_in_every_mode() {
    let at = answering(|c| Some(cached(c)));
    for rest in ["", "--threads 2 --pipeline 8 --connections 4", "--churn 0.2", "--tenant a:1 --tenant b:3"] {
        let o = load(at, &format!("--rate 400 --seconds 1 --check-keys {rest}"));
        assert_eq!((o.refused, o.failed, o.lost, o.wrong), (0, 0, 0, 0), "{rest}: {o:?}");
        assert!(o.served == o.sent && (300..500).contains(&o.sent), "{rest}: {o:?}");
        assert!(rest != "--churn 0.2" || o.opened > 30, "{o:?}");
    }
}

/// A server that stalls: the first command later than 0.5 s after its start is not answered before 1.5 s.
fn stalling() -> SocketAddr {
    let (begun, over) = (Instant::now(), AtomicBool::new(false));
    answering(move |c| {
        let since = begun.elapsed();
        if since > Duration::from_millis(500) && !over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1_500).saturating_sub(since));
            over.store(true, Ordering::Relaxed);
        }
        Some(cached(c))
    })
}

#[test]
fn a_stall_shows_in_open_loop_percentiles_and_is_hidden_by_a_closed_loop() {
    let classes = "--class pack-lookup:3000:1 --connections 4 --rate 400 --seconds 4";
    let open = load(stalling(), classes);
    let closed = load(stalling(), &format!("{classes} --closed"));
    // The server stalls for one of four seconds, so about a quarter of the requests are delayed.
    assert!(open.p99_ms > 700.0 && open.max_ms > 850.0, "{open:?}");
    assert!(closed.p99_ms < open.p99_ms / 10.0 && closed.max_ms > 850.0, "{closed:?}");
    assert_eq!((open.lost, open.wrong, open.sent), (0, 0, open.served), "{open:?}");
}

#[test]
fn each_kind_of_server_fault_has_its_own_counter() {
    let one = "--rate 200 --seconds 0.5 --class pack-lookup:100:1";
    let refuses = load(answering(|_| Some(b"-BUSY 20\r\n".to_vec())), one);
    assert!(refuses.refused == refuses.sent && refuses.sent > 50, "{refuses:?}");
    let errs = load(answering(|_| Some(b"-ERR failed\r\n".to_vec())), one);
    assert!(errs.failed == errs.sent && errs.sent > 50, "{errs:?}");
    let resets = load(answering(|_| None), one);
    assert!(resets.lost == resets.sent && resets.sent > 50, "{resets:?}");
    let malformed = load(answering(|_| Some(b"*3\r\n$x\r\n".to_vec())), one);
    assert!(malformed.wrong > 50 && malformed.served == 0, "{malformed:?}");
    let wrong_key = answering(|_| Some(b"*3\r\n$3\r\nabc\r\n$-1\r\n$-1\r\n".to_vec()));
    let wrong_key = load(wrong_key, &format!("{one} --check-keys"));
    assert!(wrong_key.wrong == wrong_key.sent && wrong_key.sent > 50, "{wrong_key:?}");
    let duplicated = load(answering(|c| Some([cached(c), cached(c)].concat())), one);
    assert!(duplicated.wrong > 0, "{duplicated:?}");
    let silent = load(answering(|_| Some(Vec::new())), one);
    assert!(silent.lost == silent.sent && silent.sent > 50, "{silent:?}");
    // An unanswered request counts with the time for which it was awaited.
    assert!(silent.p50_ms >= 100.0, "{silent:?}");
    let closed_port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let unreachable = load(closed_port, one);
    assert!(unreachable.lost == unreachable.sent, "{unreachable:?}");
}

#[test]
fn a_generator_that_falls_behind_reports_it() {
    // A rate that one thread can't generate on any machine.
    let at = answering(|c| Some(cached(c)));
    let o = load(at, "--rate 20000000 --seconds 0.2 --class pack-lookup:200:1");
    assert!(o.fell_behind && o.own_lag_p99_ms > 5.0, "{o:?}");
}
