//! The soak: plans drawn from seeds, played on real processes with many troubles at once, and judged by the records of clients and
//! nodes. A plan that breaks a rule is shrunk to the fewest troubles that still break it.

mod hostile;
mod plan;
mod play;

use crate::{sockets, Failure};
use plan::{Plan, Trouble};
use play::{play, Outcome};
use serde::Serialize;
use std::path::{Path, PathBuf};

/// How often a smaller plan has to break the rule to take the place of a larger one.
const SHRINK_CONFIRMATIONS: usize = 3;

/// The arguments of `trestlelab soak`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The seed of the first run; each further run has the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of runs.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    runs: u64,
    /// How long the load of each run lasts, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(2..=3_600))]
    seconds: u64,
    /// Play only these kinds of trouble: node, crowd, leavers, repeated-ids, system-calls, restart, move, kill.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Shrink a plan that breaks a rule to the fewest troubles that break it three times of three.
    #[arg(long)]
    shrink: bool,
    /// Play the plan in this file, in place of drawn ones.
    #[arg(long, conflicts_with_all = ["seed", "runs", "only"])]
    plan: Option<PathBuf>,
    /// Print the drawn plans as JSON, and play nothing.
    #[arg(long)]
    print: bool,
    /// Print one JSON object a run.
    #[arg(long)]
    json: bool,
    /// The proxy program; by default `trestlesill` in the folder of this tool.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// What is printed of a run as JSON.
#[derive(Serialize)]
struct Report<'a> {
    plan: &'a Plan,
    outcome: &'a Outcome,
}

/// Runs `trestlelab soak`. The exit code is 1 if a rule was broken.
///
/// # Errors
/// The arguments or the plan are not valid, or a process can't be run.
pub fn command(args: &Args) -> Result<u8, Failure> {
    if let Some(unknown) = args.only.iter().find(|name| !Trouble::NAMES.contains(&name.as_str())) {
        let known = Trouble::NAMES.join(", ");
        return Err(Failure::Input(vec![format!(
            "--only: {unknown} is no kind of trouble; there are {known}"
        )]));
    }
    let plans = match &args.plan {
        Some(path) => vec![read_plan(path)?],
        None => (0..args.runs)
            .map(|run| Plan::draw(args.seed.wrapping_add(run), args.seconds, &args.only))
            .collect(),
    };
    if args.print {
        for plan in &plans {
            println!("{}", to_json(plan)?);
        }
        return Ok(0);
    }
    let program = args.program.clone().unwrap_or_else(sockets::default_program);
    let mut broken_runs = 0;
    for (number, plan) in plans.iter().enumerate() {
        let outcome = play(plan, &program)?;
        broken_runs += usize::from(!outcome.breaks.is_empty());
        if args.json {
            println!("{}", to_json(&Report { plan, outcome: &outcome })?);
        } else {
            println!("{}", line(plan, &outcome));
        }
        if !outcome.breaks.is_empty() {
            describe(plan, &outcome)?;
            if args.shrink {
                let smaller = shrink(plan, &outcome.breaks[0].rule, &program)?;
                eprintln!("shrunk to {} troubles: {}", smaller.troubles.len(), to_json(&smaller)?);
            }
        }
        eprintln!("{} of {} runs, {broken_runs} broke a rule", number + 1, plans.len());
    }
    Ok(u8::from(broken_runs > 0))
}

fn to_json(value: &impl Serialize) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(|error| Failure::Io(error.to_string()))
}

fn read_plan(path: &Path) -> Result<Plan, Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| Failure::io("can't be read", path, error))?;
    serde_json::from_str(&text)
        .map_err(|error| Failure::Input(vec![format!("{}: is no plan: {error}", path.display())]))
}

/// One line about a run.
fn line(plan: &Plan, outcome: &Outcome) -> String {
    let ends: Vec<String> = outcome.ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
    let troubles: Vec<&str> = plan.troubles.iter().map(Trouble::name).collect();
    format!(
        "seed {}: {}; {} commands at nodes, {} clients left; memory {:?} kB of {} MB, descriptors {:?} of {}; {}",
        plan.seed,
        ends.join(", "),
        outcome.commands_at_nodes,
        outcome.departures,
        outcome.peak_memory_kb,
        plan.memory_mb,
        outcome.peak_descriptors,
        plan.descriptors,
        troubles.join(" "),
    )
}

/// Prints the broken rules of a run, the first of each with the path of its request.
fn describe(plan: &Plan, outcome: &Outcome) -> Result<(), Failure> {
    eprintln!("seed {} broke a rule; its plan: {}", plan.seed, to_json(plan)?);
    let mut rules: Vec<&str> = outcome.breaks.iter().map(|one| one.rule.as_str()).collect();
    rules.sort_unstable();
    rules.dedup();
    for rule in rules {
        let of_rule = || outcome.breaks.iter().filter(|one| one.rule == rule);
        let Some(first) = of_rule().next() else { continue };
        let id = first.id.as_deref().unwrap_or("-");
        eprintln!("  {rule}, {} times; request {id}: {}", of_rule().count(), first.what);
        first.path.iter().for_each(|line| eprintln!("    {line}"));
    }
    Ok(())
}

/// Reduces a plan to the fewest troubles that still break the rule each of several times.
fn shrink(plan: &Plan, rule: &str, program: &Path) -> Result<Plan, Failure> {
    let mut smallest = plan.clone();
    let mut position = 0;
    while position < smallest.troubles.len() {
        let mut smaller = smallest.clone();
        smaller.troubles.remove(position);
        if breaks_always(&smaller, rule, program)? {
            smallest = smaller;
        } else {
            position += 1;
        }
    }
    Ok(smallest)
}

fn breaks_always(plan: &Plan, rule: &str, program: &Path) -> Result<bool, Failure> {
    for _ in 0..SHRINK_CONFIRMATIONS {
        if !play(plan, program)?.breaks.iter().any(|one| one.rule == rule) {
            return Ok(false);
        }
    }
    Ok(true)
}
