//! Searches for the knee: the highest load at which a scenario meets a goal.

use crate::{scenarios, Failure};
use model::{Scenario, Summary};
use rayon::prelude::*;
use std::fmt::Write;

/// Options of the search.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// A file, or the name of a built-in scenario.
    file: String,
    /// The minimum fraction of requests served in time, over all seeds.
    #[arg(long, default_value_t = 0.99)]
    goal: f64,
    /// The policy.
    #[arg(long, default_value = "shipped")]
    policy: String,
    /// Number of runs, with different seeds, for each load.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Relative tolerance: the search ends when its bounds differ by at most this fraction of the load.
    #[arg(long, default_value_t = 0.02)]
    within: f64,
    /// Number of boxes, in place of the scenario's; proxies, the origin and the initial load scale in proportion.
    #[arg(long)]
    boxes: Option<usize>,
}

struct Load {
    rate: f64,
    share: f64,
    runs: Vec<Summary>,
}

fn run_at(scenario: &Scenario, rate: f64, args: &Args) -> Result<Load, Failure> {
    let mut scenario = scenario.clone();
    scenario.traffic.rate = rate;
    let runs: Result<Vec<Summary>, String> =
        (1..=args.seeds.max(1)).into_par_iter().map(|s| model::run(&scenario, &args.policy, s)).collect();
    let runs = runs.map_err(|e| Failure::Input(vec![e]))?;
    let (good, all) = runs.iter().fold((0, 0), |(g, a), r| (g + r.in_time, a + r.asked));
    Ok(Load { rate, share: good as f64 / all.max(1) as f64, runs })
}

/// Describes a load: requests not served in time by outcome, and the utilization of the boxes and of the origin.
fn describe(load: &Load) -> String {
    let sum = |f: fn(&Summary) -> u64| load.runs.iter().map(f).sum::<u64>();
    let lost = [
        ("late", sum(|r| r.late)),
        ("refused", sum(|r| r.refused)),
        ("failed", sum(|r| r.failed)),
        ("unanswered", sum(|r| r.unanswered)),
    ];
    let mean = |f: fn(&Summary) -> f64| load.runs.iter().map(f).sum::<f64>() / load.runs.len() as f64;
    let mut out = String::new();
    let outcomes: Vec<String> =
        lost.iter().filter(|(_, n)| *n > 0).map(|(w, n)| format!("{w} {n}")).collect();
    let (boxes, busiest) = (mean(|r| r.boxes_busy), mean(|r| r.busiest_box));
    // Writing to a string cannot fail.
    let _ = write!(
        out,
        "{}; boxes are at work {:.0}% of their time, the busiest {:.0}%, the origin {:.0}%",
        if outcomes.is_empty() { "nothing is lost".into() } else { outcomes.join(", ") },
        100.0 * boxes,
        100.0 * busiest,
        100.0 * mean(|r| r.origin_part)
    );
    out
}

/// Doubles the load until the goal is missed, then bisects the interval.
pub fn command(args: &Args) -> Result<u8, Failure> {
    if !(0.0..1.0).contains(&args.goal) || args.within <= 0.0 {
        return Err(Failure::Input(vec!["--goal must be 0 to below 1, --within above 0".into()]));
    }
    let mut scenario = scenarios::load(&args.file)?;
    if let Some(boxes) = args.boxes {
        scenario = scenarios::scaled(scenario, boxes)?;
    }
    let mut low: Option<Load> = None;
    let mut rate = scenario.traffic.rate;
    let mut high = loop {
        let load = run_at(&scenario, rate, args)?;
        eprintln!("{rate:.0} a second: {:.4} in time", load.share);
        if load.share < args.goal {
            break load;
        }
        rate *= 2.0;
        low = Some(load);
        if rate > 1e7 {
            return Err(Failure::Input(vec![format!("the goal holds up to {rate} a second: no knee")]));
        }
    };
    loop {
        let from = low.as_ref().map_or(0.0, |l| l.rate);
        if high.rate - from <= args.within * high.rate {
            break;
        }
        let load = run_at(&scenario, (from + high.rate) / 2.0, args)?;
        eprintln!("{:.0} a second: {:.4} in time", load.rate, load.share);
        if load.share < args.goal {
            high = load;
        } else {
            low = Some(load);
        }
    }
    let Some(low) = low else {
        println!("{}: {} is not kept at any load that was tried", scenario.name, args.goal);
        return Ok(1);
    };
    let (t, goal) = (&scenario.topology, args.goal);
    println!(
        "{} by {}: {} boxes, {} proxies: {goal} in time up to {:.0} a second ({:.4})\nbeyond it, at {:.0} ({:.4}): {}",
        scenario.name,
        args.policy,
        t.boxes,
        t.proxies,
        low.rate,
        low.share,
        high.rate,
        high.share,
        describe(&high)
    );
    Ok(0)
}
