//! Experiments: scenarios in the model and over sockets, sweeps, the knee, comparisons, reports, and a load tool. Who
//! decides, and what a run comes to, is `model`'s; this crate reads files, uses all cores and prints.

mod campaign;
mod compare;
mod knee;
pub mod load;
mod report;
mod results;
mod scenarios;
mod sockets;
mod sweep;

use clap::{Args, Parser, Subcommand, ValueEnum};
use model::{Scenario, Summary};
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

pub use compare::{paired, Difference};
pub use results::{read, Record};

/// Experiments with a fleet of proxies, in a model and over sockets.
#[derive(Debug, Parser)]
#[command(name = "trestlelab", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Look at a scenario or a sweep, and tell all that is wrong with it.
    Check {
        /// A file, or the name of a scenario that ships.
        file: String,
    },
    /// Play a scenario once, and judge it: exit code 1 if a rule or what must hold was broken.
    Run(RunArgs),
    /// Play a scenario over a matrix of parameters, policies and seeds, on all cores; goes on where it was stopped.
    Sweep(sweep::Args),
    /// Put load on real proxies, open loop: times count from when a request was meant to start.
    Load(load::Args),
    /// Search for the highest load that keeps a goal.
    Knee(knee::Args),
    /// Play days of a bench outside of this repository over many seeds, and write one table.
    Campaign(campaign::Args),
    /// Compare two sets of results, paired by scenario, parameters and seed.
    Compare(compare::Args),
    /// Write a page with plots of a folder of results.
    Report(report::Args),
    /// List the scenarios that ship, each with what it guards, or print one.
    Scenarios {
        /// Print the text of this one.
        name: Option<String>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Place {
    /// In virtual time.
    Model,
    /// With stand-ins and real proxies on loopback.
    Sockets,
}

#[derive(Debug, Args)]
struct RunArgs {
    /// A file, or the name of a scenario that ships.
    file: String,
    /// Where to play it.
    #[arg(long = "in", value_enum, default_value = "model")]
    place: Place,
    /// The source of all chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Who decides, in the model.
    #[arg(long, default_value = "shipped")]
    policy: String,
    /// Boxes, instead of the scenario's; proxies, the origin, discovery, keys and the load follow in proportion.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    boxes: Option<u32>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// The proxy to run, over sockets; by default the one beside this tool.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Why the tool gives up.
#[derive(Debug)]
pub enum Failure {
    /// The input can't be used; each line says where and why.
    Input(Vec<String>),
    /// Something could not be read, written or run.
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

/// Runs the tool. Exit codes: 0 all is well, 1 a rule or a goal was broken, 2 the input can't be used, 3 the measurement
/// is void.
pub fn command(cli: &Cli) -> ExitCode {
    let done = match &cli.command {
        Command::Check { file } => scenarios::check(file).map(|line| {
            println!("{line}");
            0
        }),
        Command::Run(args) => run(args),
        Command::Sweep(args) => sweep::command(args),
        Command::Load(args) => load::command(args),
        Command::Knee(args) => knee::command(args),
        Command::Campaign(args) => campaign::command(args),
        Command::Compare(args) => compare::command(args),
        Command::Report(args) => report::command(args),
        Command::Scenarios { name } => scenarios::list(name.as_deref()),
    };
    match done {
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
        print!("{}", in_words(&summary));
    }
    let missed = missed(&scenario, &summary);
    for line in &missed {
        eprintln!("{line}");
    }
    Ok(u8::from(!summary.breaches.is_empty() || !missed.is_empty()))
}

/// What a scenario wants to hold and does not.
pub(crate) fn missed(scenario: &Scenario, summary: &Summary) -> Vec<String> {
    let mut missed = Vec::new();
    let mut look = |what: &str, bad: bool, got: f64, wanted: f64| {
        if bad {
            missed.push(format!("{}: {what} is {got:.4}, wanted {wanted}", summary.scenario));
        }
    };
    let (share, attempts) = (summary.share(), summary.attempts_each());
    if let Some(least) = scenario.holds.in_time {
        look("in_time", share < least, share, least);
    }
    if let Some(most) = scenario.holds.p99_ms {
        look("p99_ms", summary.p99_ms > most, summary.p99_ms, most);
    }
    if let Some(most) = scenario.holds.attempts {
        look("attempts", attempts > most, attempts, most);
    }
    missed
}

fn in_words(s: &Summary) -> String {
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
