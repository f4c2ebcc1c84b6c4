//! trestlesill: one real proxy. It reads its configuration, listens, and runs until SIGTERM.

use std::process::ExitCode;
use trestlesill::config::Config;
use trestlesill::Proxy;

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
