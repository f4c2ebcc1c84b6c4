//! The `trestlesill` executable: reads the configuration, listens, and serves until SIGTERM.

use operator::Operator;
use std::path::PathBuf;
use std::process::ExitCode;
use trestlesill::config::Config;
use trestlesill::{Proxy, Signals};

const USAGE: &str = "usage: trestlesill [--operator FILE] [--check]; NODE_CONFIG names the configuration";

/// The command-line options.
struct Options {
    /// The operator's file.
    operator: Option<PathBuf>,
    /// Only read and validate the files.
    check: bool,
}

fn parse_options(mut args: impl Iterator<Item = std::ffi::OsString>) -> Result<Options, String> {
    let mut options = Options { operator: None, check: false };
    while let Some(arg) = args.next() {
        if arg == "--operator" && options.operator.is_none() {
            let file = args.next().ok_or_else(|| format!("--operator needs a file name; {USAGE}"))?;
            options.operator = Some(file.into());
        } else if arg == "--check" {
            options.check = true;
        } else {
            return Err(format!("unexpected argument {arg:?}; {USAGE}"));
        }
    }
    Ok(options)
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let options = parse_options(std::env::args_os().skip(1))?;
    // Before anything that may take time, since the platform may signal a process as soon as it has started it.
    let signals = Signals::install()?;
    let config = Config::from_env_at_start()?;
    let operator = match &options.operator {
        Some(file) => Operator::load(file, &config.name)?,
        None => Operator::default(),
    };
    if options.check {
        Proxy::check(&config, &operator)?;
    } else {
        Proxy::start(config, &operator, signals)?.run()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trestlesill: {e}");
            ExitCode::FAILURE
        }
    }
}
