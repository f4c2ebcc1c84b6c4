//! The cases of the second review, and four trials: `stand-ins-2 NAME ROOT FOLDER TEMP`.

mod kit;

mod address;
mod copies;
mod crowd;
mod departed;
mod queued;
mod readers;
mod same_id;
mod stop_late;
mod window;

use std::time::Duration;

fn main() {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let place = kit::Place::from_args(args);
    // A case takes far less than its 120 seconds.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        kit::cannot_run("it took over 110 s");
    });
    match name.as_str() {
        "window" => window::run(&place),
        "address" => address::run(&place),
        "crowd" => crowd::run(&place),
        "copies" => copies::run(&place),
        "stop-late" => stop_late::run(&place),
        "readers" => readers::run(&place),
        "queued" => queued::run(&place),
        "same-id" => same_id::run(&place),
        "departed" => departed::run(&place),
        other => kit::cannot_run(format!("no case {other:?}")),
    }
}
