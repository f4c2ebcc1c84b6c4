//! Entry point of the `trestlelab` program.

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    trestlelab::command(&trestlelab::Cli::parse())
}
