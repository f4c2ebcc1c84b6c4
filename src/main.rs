//! trestlesill: one real proxy. It reads its configuration, listens, and runs until SIGTERM.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod proxy;

use proxy::config::Config;
use proxy::Proxy;
use std::process::ExitCode;

fn main() -> ExitCode {
    let run = || -> Result<(), Box<dyn std::error::Error>> {
        Proxy::start(Config::from_env()?)?.run()?;
        Ok(())
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trestlesill: {e}");
            ExitCode::FAILURE
        }
    }
}
