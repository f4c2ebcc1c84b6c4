//! Campaigns: runs an external bench over a matrix of kinds of days and seeds, in parallel, and collects the results in
//! one table. The bench is called once per play, with its normal command line (`PROGRAM SITE --rough KIND --seed N`), in
//! the checkout to measure. The result is read from the entry that the bench writes to `journal/`, whose name it prints
//! last (`snapshot ID`).

use crate::results::{ResultLine, ResultsFile};
use crate::Failure;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Mutex;

/// The plays of a campaign.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The program of the bench.
    #[arg(long)]
    bench: PathBuf,
    /// The site description for the bench.
    #[arg(long)]
    site: PathBuf,
    /// Kinds of days, separated by commas.
    #[arg(long, value_delimiter = ',', required = true)]
    kinds: Vec<String>,
    /// Seeds, separated by commas.
    #[arg(long, value_delimiter = ',', required = true)]
    seeds: Vec<u64>,
    /// Number of plays of each kind and seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    plays: u32,
    /// Run a smaller day, with this number of proxies.
    #[arg(long)]
    nodes: Option<u32>,
    /// Number of parallel plays; a full-size day keeps about three cores busy.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=64))]
    lanes: u32,
    /// Another checkout, already built: the same days run there too, and differences beyond noise are reported.
    #[arg(long)]
    against: Option<PathBuf>,
    /// The reason for the plays, which the bench records.
    #[arg(long)]
    why: String,
    /// Results file in JSON Lines, one play per line; recorded plays are not repeated.
    #[arg(long)]
    out: PathBuf,
}

/// Result of a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Play {
    /// `here`, or `there` for the other checkout.
    pub side: String,
    /// Kind of the day.
    pub kind: String,
    /// Seed of the day.
    pub seed: u64,
    /// Number of proxies, for a smaller day.
    pub nodes: Option<u32>,
    /// Number of the play, from 1.
    pub play: u32,
    /// The fraction of the worth that was served, before prices; `wanted` is the minimum that the gate requires.
    pub served: f64,
    /// See `served`.
    pub wanted: f64,
    /// For each class: name, fraction served, minimum required.
    pub classes: Vec<(String, f64, f64)>,
    /// The value G after prices; `top` is the best value known for the day.
    pub g: f64,
    /// See `g`.
    pub top: f64,
    /// Score of the day.
    pub score: f64,
    /// The amount that each price deducts from G.
    pub prices: BTreeMap<String, f64>,
    /// Maximum memory of a proxy and its limit, in MB; `files` is the maximum number of file descriptors and its limit.
    pub memory: (f64, f64),
    /// See `memory`.
    pub files: (f64, f64),
    /// Broken rules, each with its count, and faults that the bench reported.
    pub broken: Vec<String>,
    /// Name of the entry in the bench's journal.
    pub snapshot: String,
}

impl ResultLine for Play {}

/// The fields of a journal entry that are read.
#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(default)]
    error: Option<serde_json::Value>,
    days: Vec<Day>,
    #[serde(default)]
    digest: String,
}

#[derive(Debug, Deserialize)]
struct Day {
    #[serde(rename = "G")]
    g: f64,
    #[serde(rename = "G_top")]
    top: f64,
    score: f64,
    served: f64,
    served_least: f64,
    #[serde(default)]
    by_class: Vec<(String, f64, f64)>,
    rules: BTreeMap<String, u64>,
    fault: Option<serde_json::Value>,
    #[serde(default)]
    gate: Option<serde_json::Value>,
    memory_mb: f64,
    files: f64,
    caps: Vec<f64>,
}

impl Play {
    /// The clause of the gate with the smallest margin: its name, and the ratio of value to required minimum (for limits,
    /// of limit to value).
    pub fn closest(&self) -> (String, f64) {
        let times = |has: f64, wants: f64| if wants > 0.0 { has / wants } else { f64::INFINITY };
        let served = ("served".to_owned(), times(self.served, self.wanted));
        let classes = self.classes.iter().map(|(name, has, wants)| (name.clone(), times(*has, *wants)));
        let bounds = [("memory", self.memory), ("descriptors", self.files)];
        let bounds = bounds.map(|(name, (has, bound))| (name.to_owned(), times(bound, has)));
        let all = classes.chain(bounds);
        all.fold(served, |least, one| if one.1 < least.1 { one } else { least })
    }

    fn day_key(&self) -> (String, u64, Option<u32>) {
        (self.kind.clone(), self.seed, self.nodes)
    }
}

/// Parses the line of prices in a report: `prices: name 0.1, other 0.2`.
fn prices(report: &str) -> BTreeMap<String, f64> {
    let line = report.lines().find_map(|l| l.trim().strip_prefix("prices:"));
    let pairs = line.unwrap_or_default().split(',').filter_map(|pair| {
        let (name, figure) = pair.trim().rsplit_once(' ')?;
        Some((name.to_owned(), figure.parse().ok()?))
    });
    pairs.collect()
}

/// Progress of a campaign.
struct Progress {
    /// Remaining plays, the next one last.
    tasks: Vec<Task>,
    results: ResultsFile,
    plays: Vec<Play>,
    failed: Vec<String>,
}

/// A play that has not run yet.
#[derive(Clone, Debug)]
struct Task {
    side: &'static str,
    checkout: PathBuf,
    kind: String,
    seed: u64,
    play: u32,
}

/// Reads the result of a play from the journal entry that is named in the bench's output.
fn outcome(args: &Args, task: &Task, printed: &str) -> Result<Play, String> {
    let snapshot = printed.lines().rev().find_map(|l| l.trim().strip_prefix("snapshot "));
    let snapshot = snapshot.ok_or("the bench printed no line `snapshot ID`")?.to_owned();
    let folder = task.checkout.join("journal");
    let ends = format!("-{snapshot}.json");
    let named = |e: &std::fs::DirEntry| e.file_name().to_string_lossy().ends_with(&ends);
    let entries = std::fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let entry = entries.flatten().find(named).ok_or(format!("journal entry {snapshot} not found"))?;
    let text =
        std::fs::read_to_string(entry.path()).map_err(|e| format!("{}: {e}", entry.path().display()))?;
    let entry: Entry = serde_json::from_str(&text).map_err(|e| format!("entry {snapshot}: {e}"))?;
    if let Some(error) = entry.error.filter(|e| !e.is_null()) {
        return Err(format!("entry {snapshot}: {error}"));
    }
    let day = entry.days.into_iter().next().ok_or(format!("entry {snapshot} has no day"))?;
    let rules = day.rules.iter().filter(|(_, times)| **times > 0);
    let broken = rules.map(|(rule, times)| format!("{rule} {times} times"));
    let texts = |value: &Option<serde_json::Value>| {
        value.iter().filter(|v| !v.is_null()).map(|v| v.to_string().replace('"', "")).collect::<Vec<_>>()
    };
    let cap = |i: usize| day.caps.get(i).copied().unwrap_or(0.0);
    Ok(Play {
        side: task.side.to_owned(),
        kind: task.kind.clone(),
        seed: task.seed,
        nodes: args.nodes,
        play: task.play,
        served: day.served,
        wanted: day.served_least,
        classes: day.by_class,
        g: day.g,
        top: day.top,
        score: day.score,
        prices: prices(&entry.digest),
        memory: (day.memory_mb, cap(0)),
        files: (day.files, cap(1)),
        broken: broken.chain(texts(&day.fault)).chain(texts(&day.gate)).collect(),
        snapshot,
    })
}

fn play(args: &Args, task: &Task) -> Result<Play, String> {
    let mut command = Command::new(&args.bench);
    command.current_dir(&task.checkout).arg(&args.site);
    command.args(["--rough", &task.kind, "--seed", &task.seed.to_string()]);
    args.nodes.iter().for_each(|n| {
        command.args(["--nodes", &n.to_string()]);
    });
    // Both checkouts are built beforehand: parallel builds in one folder would block each other during a play.
    command.args(["--no-build", "--why", &args.why]);
    let out = command.output().map_err(|e| format!("{}: {e}", args.bench.display()))?;
    let printed = String::from_utf8_lossy(&out.stdout);
    outcome(args, task, &printed).map_err(|e| {
        let last = String::from_utf8_lossy(&out.stderr).lines().last().unwrap_or_default().to_owned();
        format!("{} {}, play {} ({}): {e}; {last}", task.kind, task.seed, task.play, task.side)
    })
}

/// Whether two sides differ beyond noise: each has at least two plays, and their ranges of scores do not overlap.
fn differ(here: &[f64], there: &[f64]) -> bool {
    let least = |all: &[f64]| all.iter().copied().fold(f64::INFINITY, f64::min);
    let most = |all: &[f64]| all.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    here.len() > 1 && there.len() > 1 && (least(here) > most(there) || least(there) > most(here))
}

/// The table of all plays, followed by the days on which the sides differ beyond noise.
pub fn table(plays: &[Play]) -> String {
    let mut out = String::from(
        "| day | seed | proxies | side | served | wanted | G | top | score | prices | closest | rules |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut sorted: Vec<&Play> = plays.iter().collect();
    sorted.sort_by_key(|p| (p.kind.clone(), p.seed, p.nodes, p.side.clone(), p.play));
    for p in &sorted {
        let mut prices: Vec<(&String, &f64)> =
            p.prices.iter().filter(|(_, figure)| **figure >= 0.001).collect();
        prices.sort_by(|a, b| b.1.total_cmp(a.1));
        let prices: Vec<String> = prices.iter().map(|(name, figure)| format!("{name} {figure:.3}")).collect();
        let (clause, times) = p.closest();
        let rules = if p.broken.is_empty() { "kept".to_owned() } else { p.broken.join(", ") };
        let nodes = p.nodes.map_or("all".to_owned(), |n| n.to_string());
        let _ = writeln!(
            out,
            "| {} | {} | {nodes} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {} | {clause} {times:.1} times | {rules} |",
            p.kind,
            p.seed,
            p.side,
            p.served,
            p.wanted,
            p.g,
            p.top,
            p.score,
            prices.join(", "),
        );
    }
    let cells: BTreeSet<_> = sorted.iter().map(|p| p.day_key()).collect();
    for cell in cells {
        let scores = |side: &str| -> Vec<f64> {
            let of = sorted.iter().filter(|p| p.side == side && p.day_key() == cell);
            of.map(|p| p.score).collect()
        };
        let (here, there) = (scores("here"), scores("there"));
        if differ(&here, &there) {
            let _ = writeln!(out, "\n{} {}: beyond noise, here {here:?}, there {there:?}", cell.0, cell.1);
        }
    }
    out
}

/// Runs the missing plays and prints the table; returns 1 if a rule was broken or a fault was reported on side `here`.
pub fn command(args: &Args) -> Result<u8, Failure> {
    let here = std::env::current_dir().map_err(|e| Failure::Io(format!("current directory: {e}")))?;
    let mut sides = vec![("here", here)];
    if let Some(other) = &args.against {
        let other = other.canonicalize().map_err(|e| Failure::io("is not there", other, e))?;
        sides.push(("there", other));
    }
    let mut problems: Vec<String> = Vec::new();
    for (name, path) in [("--bench", &args.bench), ("--site", &args.site)] {
        if !path.is_file() {
            problems.push(format!("{name}: {} is not a file", path.display()));
        }
    }
    for (_, folder) in sides.iter().filter(|(_, f)| !f.join("deploy/balancer.toml").is_file()) {
        problems.push(format!(
            "{}: deploy/balancer.toml not found: not a checkout that the bench can run",
            folder.display()
        ));
    }
    if !problems.is_empty() {
        return Err(Failure::Input(problems));
    }
    let (results, plays) = ResultsFile::open::<Play>(&args.out)?;
    let mut tasks = Vec::new();
    for play in 1..=args.plays {
        for seed in &args.seeds {
            for kind in &args.kinds {
                for (side, checkout) in &sides {
                    let recorded = |p: &Play| {
                        (&*p.side, &p.kind, p.seed, p.nodes, p.play) == (*side, kind, *seed, args.nodes, play)
                    };
                    if !plays.iter().any(recorded) {
                        let (checkout, kind) = (checkout.clone(), kind.clone());
                        tasks.push(Task { side, checkout, kind, seed: *seed, play });
                    }
                }
            }
        }
    }
    tasks.reverse();
    let shared = Mutex::new(Progress { tasks, results, plays, failed: Vec::new() });
    let lock = || shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    std::thread::scope(|scope| {
        for _ in 0..args.lanes {
            scope.spawn(|| loop {
                let Some(task) = lock().tasks.pop() else { return };
                let result = play(args, &task);
                let mut progress = lock();
                match result {
                    Ok(play) => {
                        eprintln!("{} {} ({}): {:.2}", play.kind, play.seed, play.side, play.score);
                        if let Err(e) = progress.results.add(&play) {
                            progress.failed.push(e.to_string());
                        }
                        progress.plays.push(play);
                    }
                    Err(e) => progress.failed.push(e),
                }
            });
        }
    });
    let Progress { plays, failed, .. } =
        shared.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    print!("{}", table(&plays));
    if !failed.is_empty() {
        return Err(Failure::Input(failed));
    }
    Ok(u8::from(plays.iter().any(|p| p.side == "here" && !p.broken.is_empty())))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample_play(side: &str, play: u32, score: f64) -> Play {
        Play {
            side: side.into(),
            kind: "join+mass".into(),
            seed: 7,
            nodes: None,
            play,
            served: 0.6,
            wanted: 0.3,
            classes: vec![("a".into(), 0.3, 0.2), ("b".into(), 0.9, 0.0)],
            g: 0.5,
            top: 0.7,
            score,
            prices: prices("G 0.5\n  prices: origin 0.0459, waste 0.0032, discovery 0.0002\n"),
            memory: (1.0, 48.0),
            files: (47.0, 512.0),
            broken: Vec::new(),
            snapshot: "x".into(),
        }
    }

    #[test]
    fn the_closest_clause_has_the_smallest_margin() {
        assert_eq!(sample_play("here", 1, 0.8).closest(), ("a".into(), 0.3 / 0.2));
        let mut full = sample_play("here", 1, 0.8);
        full.files = (500.0, 512.0);
        assert_eq!(full.closest().0, "descriptors");
    }

    #[test]
    fn sides_differ_only_if_their_score_ranges_do_not_overlap() {
        let plays = |scores: [f64; 4]| {
            let sides = [("here", 1), ("here", 2), ("there", 1), ("there", 2)];
            sides
                .iter()
                .zip(scores)
                .map(|((side, n), score)| sample_play(side, *n, score))
                .collect::<Vec<_>>()
        };
        assert!(table(&plays([0.9, 0.8, 0.7, 0.6])).contains("beyond noise"));
        assert!(!table(&plays([0.9, 0.65, 0.7, 0.6])).contains("beyond noise"));
        let text = table(&plays([0.9, 0.8, 0.7, 0.6])[..3]);
        assert!(!text.contains("beyond noise") && text.contains("origin 0.046, waste 0.003"), "{text}");
    }
}
