//! Measures the load generator itself against a scripted server that answers at once: the maximum rate of one thread, and
//! the generator's own lag at 50,000 requests per second. Takes half a minute:
//!
//! ```sh
//! cargo bench -p trestlelab --bench load
//! ```

use clap::Parser;
use testkit::scripted::{answering, cached};
use trestlelab::load::{run, Args};

#[derive(Parser)]
struct CommandLine {
    #[command(flatten)]
    args: Args,
}

fn main() {
    let at = answering(|c| Some(cached(c)));
    for (what, rest) in [
        ("one thread, closed loop", "--rate 1 --closed --connections 4 --pipeline 64"),
        ("one thread, 50,000 a second", "--rate 50000 --connections 8 --pipeline 64"),
        ("two threads, 50,000 a second", "--rate 50000 --connections 8 --pipeline 64 --threads 2"),
    ] {
        for _ in 0..3 {
            let line = format!("load {at} --seconds 3 --class pack-lookup:480:1 {rest}");
            let args = CommandLine::parse_from(line.split_whitespace()).args;
            match run(&args) {
                Ok((o, _)) => println!(
                    "{what}: {:.0} a second, lost {}, wrong {}, late by itself {:.3} ms (99%), p50 {:.3}, p99 {:.3} ms, fell behind {}",
                    o.served as f64 / args.seconds, o.lost, o.wrong, o.own_lag_p99_ms, o.p50_ms, o.p99_ms, o.fell_behind
                ),
                Err(e) => println!("{what}: {e}"),
            }
        }
    }
}
