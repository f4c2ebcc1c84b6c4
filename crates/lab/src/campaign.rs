//! Campaigns: kinds of days by seeds, played by a bench that stands outside of this repository, side by side, and put
//! into one table. The bench is called as its users call it (`PROGRAM SITE --rough KIND --seed N`), once a play, in the
//! checkout that is measured; what came of a play is read from the entry that it leaves in `journal/`, whose name it
//! prints last (`snapshot ID`).

use crate::results::{Book, Line};
use crate::Failure;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Mutex;

/// What to play.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The bench's program.
    #[arg(long)]
    bench: PathBuf,
    /// Its description of the site.
    #[arg(long)]
    site: PathBuf,
    /// Kinds of days, with commas between.
    #[arg(long, value_delimiter = ',', required = true)]
    kinds: Vec<String>,
    /// Seeds, with commas between.
    #[arg(long, value_delimiter = ',', required = true)]
    seeds: Vec<u64>,
    /// Plays of each kind and seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    plays: u32,
    /// A smaller day, with so many proxies.
    #[arg(long)]
    nodes: Option<u32>,
    /// Plays side by side; a whole day keeps about three cores busy.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=64))]
    lanes: u32,
    /// Another checkout, built: the same days are played there too, and differences beyond noise are told.
    #[arg(long)]
    against: Option<PathBuf>,
    /// The bench's note on the plays: why they are played.
    #[arg(long)]
    why: String,
    /// JSON Lines, a play each; one that is there already is not played again.
    #[arg(long)]
    out: PathBuf,
}

/// What came of a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Play {
    /// `here`, or `there` for the other checkout.
    pub side: String,
    /// The day's kind.
    pub kind: String,
    /// Its seed.
    pub seed: u64,
    /// Proxies, if it was a smaller day.
    pub nodes: Option<u32>,
    /// Which of the plays, from 1.
    pub play: u32,
    /// The part of the worth that was served, before prices, and what the gate wants of it.
    pub served: f64,
    /// See `served`.
    pub wanted: f64,
    /// The same for each class: its name, served, wanted.
    pub classes: Vec<(String, f64, f64)>,
    /// After prices, and the best that is known for the day.
    pub g: f64,
    /// See `g`.
    pub top: f64,
    /// The day's score.
    pub score: f64,
    /// Points of G that each price took.
    pub prices: BTreeMap<String, f64>,
    /// The most memory of a proxy and the bound, in MB; the most descriptors and the bound.
    pub memory: (f64, f64),
    /// See `memory`.
    pub files: (f64, f64),
    /// Rules that were broken, with how often; and what crashed.
    pub broken: Vec<String>,
    /// The bench's name for its entry.
    pub snapshot: String,
}

impl Line for Play {}

/// The parts of an entry of the journal that are read.
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
    /// The clause of the gate that is kept most narrowly: its name, and how many times what is wanted there is (or, for
    /// bounds, how many times it would fit).
    pub fn closest(&self) -> (String, f64) {
        let times = |has: f64, wants: f64| if wants > 0.0 { has / wants } else { f64::INFINITY };
        let served = ("served".to_owned(), times(self.served, self.wanted));
        let classes = self.classes.iter().map(|(name, has, wants)| (name.clone(), times(*has, *wants)));
        let bounds = [("memory", self.memory), ("descriptors", self.files)];
        let bounds = bounds.map(|(name, (has, bound))| (name.to_owned(), times(bound, has)));
        let all = classes.chain(bounds);
        all.fold(served, |least, one| if one.1 < least.1 { one } else { least })
    }

    fn cell(&self) -> (String, u64, Option<u32>) {
        (self.kind.clone(), self.seed, self.nodes)
    }
}

/// The prices as the report has them: `prices: name 0.1, other 0.2`.
fn prices(report: &str) -> BTreeMap<String, f64> {
    let line = report.lines().find_map(|l| l.trim().strip_prefix("prices:"));
    let pairs = line.unwrap_or_default().split(',').filter_map(|pair| {
        let (name, figure) = pair.trim().rsplit_once(' ')?;
        Some((name.to_owned(), figure.parse().ok()?))
    });
    pairs.collect()
}

/// How far a campaign is.
struct Progress {
    /// What is still to be played, the next one last.
    tasks: Vec<Task>,
    book: Book,
    plays: Vec<Play>,
    failed: Vec<String>,
}

/// One play, still to be done.
#[derive(Clone, Debug)]
struct Task {
    side: &'static str,
    checkout: PathBuf,
    kind: String,
    seed: u64,
    play: u32,
}

/// Reads what came of a play from what the bench printed and from the entry that this names.
fn outcome(args: &Args, task: &Task, printed: &str) -> Result<Play, String> {
    let snapshot = printed.lines().rev().find_map(|l| l.trim().strip_prefix("snapshot "));
    let snapshot = snapshot.ok_or("the bench names no entry of its journal")?.to_owned();
    let folder = task.checkout.join("journal");
    let ends = format!("-{snapshot}.json");
    let named = |e: &std::fs::DirEntry| e.file_name().to_string_lossy().ends_with(&ends);
    let entries = std::fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let entry = entries.flatten().find(named).ok_or(format!("the journal has no entry {snapshot}"))?;
    let text =
        std::fs::read_to_string(entry.path()).map_err(|e| format!("{}: {e}", entry.path().display()))?;
    let entry: Entry = serde_json::from_str(&text).map_err(|e| format!("entry {snapshot}: {e}"))?;
    if let Some(error) = entry.error.filter(|e| !e.is_null()) {
        return Err(format!("entry {snapshot}: {error}"));
    }
    let day = entry.days.into_iter().next().ok_or(format!("entry {snapshot} has no day"))?;
    let rules = day.rules.iter().filter(|(_, times)| **times > 0);
    let broken = rules.map(|(rule, times)| format!("{rule} {times} times"));
    let told = |value: &Option<serde_json::Value>| {
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
        broken: broken.chain(told(&day.fault)).chain(told(&day.gate)).collect(),
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
    // Both sides are built before: two builds in one folder would wait for each other in the middle of a play.
    command.args(["--no-build", "--why", &args.why]);
    let out = command.output().map_err(|e| format!("{}: {e}", args.bench.display()))?;
    let printed = String::from_utf8_lossy(&out.stdout);
    outcome(args, task, &printed).map_err(|e| {
        let last = String::from_utf8_lossy(&out.stderr).lines().last().unwrap_or_default().to_owned();
        format!("{} {}, play {} ({}): {e}; {last}", task.kind, task.seed, task.play, task.side)
    })
}

/// Two sides of a day differ beyond noise: each was played twice or more, and no score of one lies among the other's.
fn differ(here: &[f64], there: &[f64]) -> bool {
    let least = |all: &[f64]| all.iter().copied().fold(f64::INFINITY, f64::min);
    let most = |all: &[f64]| all.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    here.len() > 1 && there.len() > 1 && (least(here) > most(there) || least(there) > most(here))
}

/// The table of all plays, and below it the days on which the sides differ beyond noise.
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
    let cells: BTreeSet<_> = sorted.iter().map(|p| p.cell()).collect();
    for cell in cells {
        let scores = |side: &str| -> Vec<f64> {
            let of = sorted.iter().filter(|p| p.side == side && p.cell() == cell);
            of.map(|p| p.score).collect()
        };
        let (here, there) = (scores("here"), scores("there"));
        if differ(&here, &there) {
            let _ = writeln!(out, "\n{} {}: beyond noise, here {here:?}, there {there:?}", cell.0, cell.1);
        }
    }
    out
}

/// Plays what is missing, prints the table; 1 if a rule was broken or something crashed.
pub fn command(args: &Args) -> Result<u8, Failure> {
    let here = std::env::current_dir().map_err(|e| Failure::Io(format!("this folder: {e}")))?;
    let mut sides = vec![("here", here)];
    if let Some(other) = &args.against {
        let other = other.canonicalize().map_err(|e| Failure::io("is not there", other, e))?;
        sides.push(("there", other));
    }
    let mut bad: Vec<String> = Vec::new();
    for (name, path) in [("--bench", &args.bench), ("--site", &args.site)] {
        if !path.is_file() {
            bad.push(format!("{name}: {} is no file", path.display()));
        }
    }
    for (_, folder) in sides.iter().filter(|(_, f)| !f.join("deploy/balancer.toml").is_file()) {
        bad.push(format!(
            "{}: has no deploy/balancer.toml: it is no checkout that the bench plays",
            folder.display()
        ));
    }
    if !bad.is_empty() {
        return Err(Failure::Input(bad));
    }
    let (book, plays) = Book::open::<Play>(&args.out)?;
    let mut tasks = Vec::new();
    for play in 1..=args.plays {
        for seed in &args.seeds {
            for kind in &args.kinds {
                for (side, checkout) in &sides {
                    let there = |p: &Play| {
                        (&*p.side, &p.kind, p.seed, p.nodes, p.play) == (*side, kind, *seed, args.nodes, play)
                    };
                    if !plays.iter().any(there) {
                        let (checkout, kind) = (checkout.clone(), kind.clone());
                        tasks.push(Task { side, checkout, kind, seed: *seed, play });
                    }
                }
            }
        }
    }
    tasks.reverse();
    let shared = Mutex::new(Progress { tasks, book, plays, failed: Vec::new() });
    let lock = || shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    std::thread::scope(|scope| {
        for _ in 0..args.lanes {
            scope.spawn(|| loop {
                let Some(task) = lock().tasks.pop() else { return };
                let came = play(args, &task);
                let mut all = lock();
                match came {
                    Ok(play) => {
                        eprintln!("{} {} ({}): {:.2}", play.kind, play.seed, play.side, play.score);
                        if let Err(e) = all.book.add(&play) {
                            all.failed.push(e.to_string());
                        }
                        all.plays.push(play);
                    }
                    Err(e) => all.failed.push(e),
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

    fn one(side: &str, play: u32, score: f64) -> Play {
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
    fn the_closest_clause_is_the_one_with_the_least_to_spare() {
        assert_eq!(one("here", 1, 0.8).closest(), ("a".into(), 0.3 / 0.2));
        let mut full = one("here", 1, 0.8);
        full.files = (500.0, 512.0);
        assert_eq!(full.closest().0, "descriptors");
    }

    #[test]
    fn sides_differ_only_where_no_play_of_one_lies_among_the_others() {
        let plays = |scores: [f64; 4]| {
            let sides = [("here", 1), ("here", 2), ("there", 1), ("there", 2)];
            sides.iter().zip(scores).map(|((side, n), score)| one(side, *n, score)).collect::<Vec<_>>()
        };
        assert!(table(&plays([0.9, 0.8, 0.7, 0.6])).contains("beyond noise"));
        assert!(!table(&plays([0.9, 0.65, 0.7, 0.6])).contains("beyond noise"));
        let told = table(&plays([0.9, 0.8, 0.7, 0.6])[..3]);
        assert!(!told.contains("beyond noise") && told.contains("origin 0.046, waste 0.003"), "{told}");
    }
}
