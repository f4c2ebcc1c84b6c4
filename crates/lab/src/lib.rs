//! Experiments: scenarios in the model and over sockets, sweeps, the search for the highest load (the knee), comparisons,
//! reports, and a load generator. The policies and the summary of a run belong to `model`; this crate reads files, runs
//! simulations on all cores and prints results.

mod campaign;
mod compare;
mod knee;
pub mod load;
mod report;
mod results;
mod scenarios;
mod soak;
mod sockets;
mod sweep;

use clap::{Args, Parser, Subcommand, ValueEnum};
use model::{Scenario, Summary};
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

pub use compare::{paired, Difference};
pub use results::{read, Record};

/// Experiments with a fleet of proxies, in a simulation model and over sockets.
#[derive(Debug, Parser)]
#[command(name = "trestlelab", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Validate a scenario or a sweep, and list every problem in it.
    Check {
        /// A file, or the name of a built-in scenario.
        file: String,
    },
    /// Run a scenario once and check it: exit code 1 if an invariant or a goal of the scenario was violated.
    Run(RunArgs),
    /// Run a scenario over a matrix of parameters, policies and seeds, on all cores; resumes an interrupted sweep.
    Sweep(sweep::Args),
    /// Generate open-loop load on real proxies: latency counts from the intended start of each request.
    Load(load::Args),
    /// Play many troubles at once on real proxies, drawn from seeds, and judge the records: exit code 1 if a rule was broken.
    Soak(soak::Args),
    /// Search for the highest load that meets a goal.
    Knee(knee::Args),
    /// Run an external bench over many kinds of days and seeds, and write one table.
    Campaign(campaign::Args),
    /// Compare two sets of results, paired by scenario, parameters and seed.
    Compare(compare::Args),
    /// Write an HTML page with plots from a folder of results.
    Report(report::Args),
    /// List the built-in scenarios, each with what it checks, or print one.
    Scenarios {
        /// Print the text of this scenario.
        name: Option<String>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Place {
    /// The simulation model, in virtual time.
    Model,
    /// Real proxies with simulated boxes, on loopback sockets.
    Sockets,
}

#[derive(Debug, Args)]
struct RunArgs {
    /// A file, or the name of a built-in scenario.
    file: String,
    /// Where to run it.
    #[arg(long = "in", value_enum, default_value = "model")]
    place: Place,
    /// Seed of the random source.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The policy, in the model.
    #[arg(long, default_value = "shipped")]
    policy: String,
    /// Number of boxes, in place of the scenario's; proxies, origin, discovery, keys and load scale in proportion.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    boxes: Option<u32>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// The proxy program to run over sockets; by default `trestlesill` in the folder of this tool.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// The reason why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The input is invalid; each line says where and why.
    Input(Vec<String>),
    /// A file could not be read or written, or a program could not be run.
    Io(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Input(lines) => write!(f, "{}", lines.join("\n")),
            Failure::Io(line) => write!(f, "{line}"),
        }
    }
}

impl Failure {
    fn io(what: &str, path: &std::path::Path, e: impl fmt::Display) -> Failure {
        Failure::Io(format!("{}: {what}: {e}", path.display()))
    }
}

/// Runs the tool. Exit codes: 0 success, 1 an invariant or a goal was violated, 2 the command failed, 3 the measurement
/// is invalid because the load generator fell behind.
pub fn command(cli: &Cli) -> ExitCode {
    let result = match &cli.command {
        Command::Check { file } => scenarios::check(file).map(|line| {
            println!("{line}");
            0
        }),
        Command::Run(args) => run(args),
        Command::Sweep(args) => sweep::command(args),
        Command::Load(args) => load::command(args),
        Command::Soak(args) => soak::command(args),
        Command::Knee(args) => knee::command(args),
        Command::Campaign(args) => campaign::command(args),
        Command::Compare(args) => compare::command(args),
        Command::Report(args) => report::command(args),
        Command::Scenarios { name } => scenarios::list(name.as_deref()),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &RunArgs) -> Result<u8, Failure> {
    let mut scenario = scenarios::load(&args.file)?;
    if let Some(boxes) = args.boxes {
        scenario = scenarios::scaled(scenario, boxes as usize)?;
    }
    let summary = match args.place {
        Place::Model => {
            model::run(&scenario, &args.policy, args.seed).map_err(|e| Failure::Input(vec![e]))?
        }
        Place::Sockets => sockets::run(&scenario, args.seed, args.program.as_deref())?,
    };
    if args.json {
        println!("{}", serde_json::to_string(&summary).map_err(|e| Failure::Io(e.to_string()))?);
    } else {
        print!("{}", format_summary(&summary));
    }
    let missed = missed_goals(&scenario, &summary);
    for line in &missed {
        eprintln!("{line}");
    }
    Ok(u8::from(!summary.breaches.is_empty() || !missed.is_empty()))
}

/// The goals of a scenario that a run missed, one line each.
pub(crate) fn missed_goals(scenario: &Scenario, summary: &Summary) -> Vec<String> {
    let mut missed = Vec::new();
    let mut check = |what: &str, bad: bool, got: f64, wanted: f64| {
        if bad {
            missed.push(format!("{}: {what} is {got:.4}, wanted {wanted}", summary.scenario));
        }
    };
    let (in_time, attempts) = (summary.share(), summary.attempts_each());
    if let Some(least) = scenario.holds.in_time {
        check("in_time", in_time < least, in_time, least);
    }
    if let Some(most) = scenario.holds.p99_ms {
        check("p99_ms", summary.p99_ms > most, summary.p99_ms, most);
    }
    if let Some(most) = scenario.holds.attempts {
        check("attempts", attempts > most, attempts, most);
    }
    missed
}

fn format_summary(s: &Summary) -> String {
    let mut out = format!(
        "{} by {} in the {}, seed {}\n  asked {}: in time {:.4}, late {}, refused {}, failed {}, unanswered {}\n  \
         worth in time {:.4}; {:.3} attempts a request, {} answers for nobody, {:.3} connections opened a request\n  \
         p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms, longest {:.1} ms\n",
        s.scenario,
        s.policy,
        s.played_in,
        s.seed,
        s.asked,
        s.share(),
        s.late,
        s.refused,
        s.failed,
        s.unanswered,
        s.worth,
        s.attempts_each(),
        s.wasted,
        s.opened_each(),
        s.p50_ms,
        s.p99_ms,
        s.p999_ms,
        s.max_ms,
    );
    for b in &s.breaches {
        out += &format!(
            "broken {} times, seed {}: {}\n  first at {:.1} ms: {}\n",
            b.times,
            s.seed,
            b.rule.words(),
            b.at_ms,
            b.what
        );
        for line in &b.history {
            out += &format!("    {line}\n");
        }
    }
    out
}
