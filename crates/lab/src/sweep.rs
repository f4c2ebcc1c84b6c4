//! Sweeps: runs a matrix of parameters, policies and seeds on all cores; runs already in the results are skipped.

use crate::results::{Record, ResultsFile};
use crate::{scenarios, Failure};
use indicatif::{ProgressBar, ProgressStyle};
use model::{Scenario, NAMES, SCHEMA};
use rayon::prelude::*;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashSet};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

/// Maximum number of runs in a sweep.
const MAX_RUNS: usize = 100_000;

/// Options of a sweep.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The sweep file: TOML with `scenario`, `policies`, `seeds` and `[vary]`.
    file: PathBuf,
    /// The folder of results; a sweep that was interrupted there is resumed.
    #[arg(long, default_value = "results")]
    out: PathBuf,
    /// Number of threads; 0 uses all cores.
    #[arg(long, default_value_t = 0)]
    threads: usize,
}

/// The content of a sweep file, before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SweepFile {
    version: u32,
    scenario: toml::Value,
    #[serde(default = "shipped")]
    policies: Vec<String>,
    seeds: u64,
    #[serde(default)]
    vary: toml::Table,
}

fn shipped() -> Vec<String> {
    vec!["shipped".into()]
}

/// A validated sweep.
#[derive(Debug)]
pub struct Plan {
    cells: Vec<(BTreeMap<String, String>, Scenario)>,
    policies: Vec<String>,
    seeds: u64,
}

/// A run of a sweep.
#[derive(Debug)]
pub struct Run<'a> {
    parameters: &'a BTreeMap<String, String>,
    scenario: &'a Scenario,
    policy: &'a str,
    seed: u64,
    /// A hash of all inputs of the run.
    pub key: String,
}

impl Plan {
    /// Parses a sweep and validates every scenario of its matrix.
    ///
    /// # Errors
    /// Lists every problem found.
    pub fn read(file: &Path, text: &str) -> Result<Plan, Failure> {
        let at = |what: String| format!("{}: {what}", file.display());
        let sweep: SweepFile =
            toml::from_str(text).map_err(|e| Failure::Input(vec![at(e.to_string().trim().to_owned())]))?;
        let mut problems = Vec::new();
        if sweep.version != model::VERSION {
            problems.push(at(format!("version: is {}, must be {}", sweep.version, model::VERSION)));
        }
        for policy in sweep.policies.iter().filter(|p| !NAMES.contains(&p.as_str())) {
            problems.push(at(format!(
                "policies: unknown policy '{policy}'; known policies: {}",
                NAMES.join(", ")
            )));
        }
        let names: Vec<String> = match sweep.scenario {
            toml::Value::String(name) => vec![name],
            toml::Value::Array(all) => all.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect(),
            _ => Vec::new(),
        };
        if names.is_empty() {
            problems.push(at("scenario: must name a scenario, or several in an array".into()));
        }
        let mut matrix: Vec<Vec<(String, toml::Value)>> = vec![Vec::new()];
        for (key, values) in &sweep.vary {
            let Some(values) = values.as_array().filter(|v| !v.is_empty()) else {
                problems.push(at(format!("vary.{key}: must be an array of values")));
                continue;
            };
            let extend = |cell: &Vec<(String, toml::Value)>| -> Vec<Vec<(String, toml::Value)>> {
                let with = |v: &toml::Value| [cell.clone(), vec![(key.clone(), v.clone())]].concat();
                values.iter().map(with).collect()
            };
            matrix = matrix.iter().flat_map(extend).collect();
        }
        let runs = matrix.len() * names.len() * sweep.policies.len().max(1);
        if sweep.seeds == 0 || runs as u64 > MAX_RUNS as u64 / sweep.seeds.max(1) {
            problems.push(at(format!(
                "seeds: {} seeds with {runs} runs each; must be at least 1 seed and at most {MAX_RUNS} runs",
                sweep.seeds
            )));
            return Err(Failure::Input(problems));
        }
        let mut cells = Vec::new();
        for name in &names {
            // A path is relative to the folder of the sweep file.
            let in_sweep_folder = file.parent().map(|p| p.join(name)).filter(|p| p.is_file());
            let text = scenarios::text(in_sweep_folder.as_deref().and_then(Path::to_str).unwrap_or(name))?;
            for cell in &matrix {
                let mut table: toml::Table =
                    text.parse().map_err(|e| Failure::Input(vec![format!("{name}: {e}")]))?;
                let mut parameters = BTreeMap::new();
                for (key, value) in cell {
                    if !set_path(&mut table, key, value.clone()) {
                        problems.push(at(format!(
                            "vary.{key}: the path leads through a value that is not a table"
                        )));
                    }
                    parameters.insert(key.clone(), serde_json::to_string(value).unwrap_or_default());
                }
                match Scenario::from_table(table) {
                    Ok(scenario) => cells.push((parameters, scenario)),
                    Err(all) => {
                        problems.extend(all.iter().map(|p| format!("{name} with {parameters:?}: {p}")));
                    }
                }
            }
        }
        if problems.is_empty() {
            Ok(Plan { cells, policies: sweep.policies, seeds: sweep.seeds })
        } else {
            problems.dedup();
            Err(Failure::Input(problems))
        }
    }

    /// All runs of the sweep, in a fixed order.
    pub fn runs(&self) -> Vec<Run<'_>> {
        let mut all = Vec::new();
        for (parameters, scenario) in &self.cells {
            for policy in &self.policies {
                for seed in 1..=self.seeds {
                    let mut hash = Sha256::new();
                    let text = serde_json::to_string(scenario).unwrap_or_default();
                    let version = env!("CARGO_PKG_VERSION");
                    hash.update(format!("{SCHEMA}|{version}|{policy}|{seed}|{text}"));
                    let key = hex::encode(&hash.finalize()[..12]);
                    all.push(Run { parameters, scenario, policy, seed, key });
                }
            }
        }
        all
    }
}

/// Sets the value at a dotted path; returns false if the path leads through a value that is not a table.
fn set_path(table: &mut toml::Table, path: &str, value: toml::Value) -> bool {
    let Some((first, rest)) = path.split_once('.') else {
        table.insert(path.to_owned(), value);
        return true;
    };
    let inner = table.entry(first.to_owned()).or_insert_with(|| toml::Value::Table(toml::Table::new()));
    match inner {
        toml::Value::Table(inner) => set_path(inner, rest, value),
        toml::Value::Array(all) => {
            let (at, rest) = rest.split_once('.').unwrap_or((rest, ""));
            let inner = at.parse::<usize>().ok().and_then(|i| all.get_mut(i));
            inner.and_then(toml::Value::as_table_mut).is_some_and(|t| set_path(t, rest, value))
        }
        _ => false,
    }
}

/// Runs all that is missing in the results, and prints the table.
pub fn command(args: &Args) -> Result<u8, Failure> {
    let text =
        std::fs::read_to_string(&args.file).map_err(|e| Failure::io("can't be read", &args.file, e))?;
    let plan = Plan::read(&args.file, &text)?;
    std::fs::create_dir_all(&args.out).map_err(|e| Failure::io("can't be created", &args.out, e))?;
    let (results, done) = ResultsFile::open::<Record>(&args.out.join("results.jsonl"))?;
    let done: HashSet<String> = done.into_iter().map(|r| r.key).collect();
    let runs = plan.runs();
    let remaining: Vec<&Run<'_>> = runs.iter().filter(|r| !done.contains(&r.key)).collect();
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    let bar = ProgressBar::new(remaining.len() as u64);
    if let Ok(style) = style {
        bar.set_style(style);
    }
    let pool = rayon::ThreadPoolBuilder::new().num_threads(args.threads).build();
    let pool = pool.map_err(|e| Failure::Io(e.to_string()))?;
    let results = Mutex::new(results);
    pool.install(|| {
        remaining.par_iter().try_for_each(|run| {
            let summary =
                model::run(run.scenario, run.policy, run.seed).map_err(|e| Failure::Input(vec![e]))?;
            let record =
                Record { schema: SCHEMA, key: run.key.clone(), parameters: run.parameters.clone(), summary };
            results.lock().unwrap_or_else(std::sync::PoisonError::into_inner).add(&record)?;
            bar.inc(1);
            Ok::<(), Failure>(())
        })
    })?;
    bar.finish_and_clear();
    let wanted: HashSet<String> = runs.into_iter().map(|r| r.key).collect();
    let mut all = crate::read(&args.out.join("results.jsonl"))?;
    all.retain(|r| wanted.contains(&r.key));
    print!("{}", table(&all));
    Ok(u8::from(all.iter().any(|r| !r.summary.breaches.is_empty())))
}

/// One line per cell and policy, with means over the seeds; the order does not depend on which run finished first.
pub fn table(all: &[Record]) -> String {
    let mut cells: BTreeMap<(String, String, String), Vec<&Record>> = BTreeMap::new();
    for r in all {
        let parameters: Vec<String> = r.parameters.iter().map(|(k, v)| format!("{k}={v}")).collect();
        let key = (r.summary.scenario.clone(), parameters.join(" "), r.summary.policy.clone());
        cells.entry(key).or_default().push(r);
    }
    let mut out = String::from("scenario          policy             seeds  in time    worth   p99 ms  attempts  broken  parameters\n");
    for ((scenario, parameters, policy), mut records) in cells {
        records.sort_by_key(|r| r.summary.seed);
        let n = records.len() as f64;
        let mean = |f: &dyn Fn(&Record) -> f64| records.iter().map(|r| f(r)).sum::<f64>() / n;
        out += &format!(
            "{scenario:17} {policy:18} {:5} {:8.4} {:8.4} {:8.1} {:9.3} {:7}  {parameters}\n",
            records.len(),
            mean(&|r| r.summary.share()),
            mean(&|r| r.summary.worth),
            mean(&|r| r.summary.p99_ms),
            mean(&|r| r.summary.attempts_each()),
            records.iter().filter(|r| !r.summary.breaches.is_empty()).count(),
        );
    }
    out
}
