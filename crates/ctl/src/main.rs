//! trestlectl: starts, steers and inspects fleets of trestlesill proxies.

mod dev;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Exit codes: 0 done, 1 failed, 2 usage, 3 partly done or unknown.
#[derive(Debug, Parser)]
#[command(
    name = "trestlectl",
    version,
    about,
    after_help = "Exit codes: 0 done, 1 failed, 2 usage, 3 partly done or unknown."
)]
struct Cli {
    /// Print JSON, one object a line.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run proxies on this machine before stand-in boxes and a discovery, until SIGINT or SIGTERM.
    Dev(dev::Options),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Command::Dev(options) => dev::run(&options, cli.json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trestlectl: {e}");
            ExitCode::FAILURE
        }
    }
}
