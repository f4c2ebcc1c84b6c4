//! The scenarios that ship, and those of files.

use crate::{sweep, Failure};
use model::Scenario;
use std::path::Path;

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        /// Names and texts of the scenarios that ship.
        pub const SHIPPED: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}

shipped!(
    "calm-day",
    "shedding-surge",
    "silent-boxes",
    "zone-cut",
    "cold-growth",
    "proxies-return",
    "rolling-boxes",
    "late-discovery",
    "hot-key-moves",
    "slow-death",
    "origin-stop",
    "overlaps",
    "mass-calm",
    "mass-roll",
    "mass-herd",
    "mass-zone",
    "mass-split",
    "mass-join",
);

/// The text of a file or of a scenario that ships.
pub fn text(file: &str) -> Result<String, Failure> {
    if let Some((_, text)) = SHIPPED.iter().find(|(name, _)| *name == file) {
        return Ok((*text).to_owned());
    }
    std::fs::read_to_string(file).map_err(|e| {
        let ships = "is neither a file nor a scenario that ships";
        Failure::Input(vec![format!("{file}: {ships}: {e}")])
    })
}

/// Reads a scenario.
pub fn load(file: &str) -> Result<Scenario, Failure> {
    Scenario::read(&text(file)?).map_err(|all| told(file, &all))
}

/// Boxes, and all that grows with them.
///
/// # Errors
/// The scenario names boxes or proxies by numbers that are not there then, or goes past a bound.
pub fn scaled(mut scenario: Scenario, boxes: usize) -> Result<Scenario, Failure> {
    let times = boxes as f64 / scenario.topology.boxes as f64;
    let grown = |n: usize| ((n as f64 * times).round() as usize).max(1);
    scenario.topology.boxes = boxes;
    scenario.topology.proxies = grown(scenario.topology.proxies);
    scenario.origin.places = grown(scenario.origin.places);
    scenario.origin.queue = grown(scenario.origin.queue);
    if scenario.discovery.calls_a_second > 0 {
        scenario.discovery.calls_a_second = grown(scenario.discovery.calls_a_second as usize) as u32;
    }
    scenario.traffic.keys = (scenario.traffic.keys as f64 * times).ceil() as u64;
    scenario.traffic.rate *= times;
    let name = scenario.name.clone();
    let table = toml::Table::try_from(scenario).map_err(|e| Failure::Io(e.to_string()))?;
    Scenario::from_table(table).map_err(|all| told(&name, &all))
}

/// Problems as lines.
pub fn told(file: &str, all: &[model::Problem]) -> Failure {
    Failure::Input(all.iter().map(|p| format!("{file}: {p}")).collect())
}

/// Looks at a scenario or a sweep.
pub fn check(file: &str) -> Result<String, Failure> {
    let text = text(file)?;
    let table: Result<toml::Table, _> = text.parse();
    if table.is_ok_and(|t| t.contains_key("scenario")) {
        let plan = sweep::Plan::read(Path::new(file), &text)?;
        return Ok(format!("{file}: a sweep of {} runs", plan.runs().len()));
    }
    let scenario = Scenario::read(&text).map_err(|all| told(file, &all))?;
    Ok(format!("{file}: {}: {}", scenario.name, scenario.guards))
}

/// Lists what ships, or prints one.
pub fn list(name: Option<&str>) -> Result<u8, Failure> {
    match name {
        Some(name) => print!("{}", text(name)?),
        None => {
            for (name, text) in SHIPPED {
                let scenario = Scenario::read(text).map_err(|all| told(name, &all))?;
                println!("{name:16} {}", scenario.guards);
            }
        }
    }
    Ok(0)
}
