//! Built-in scenarios, and scenarios read from files.

use crate::{sweep, Failure};
use model::Scenario;
use std::path::Path;

macro_rules! built_in {
    ($($name:literal),* $(,)?) => {
        /// Names and texts of the built-in scenarios.
        pub const BUILT_IN: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}

built_in!(
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

/// The text of a built-in scenario or of a file.
pub fn text(file: &str) -> Result<String, Failure> {
    if let Some((_, text)) = BUILT_IN.iter().find(|(name, _)| *name == file) {
        return Ok((*text).to_owned());
    }
    std::fs::read_to_string(file).map_err(|e| {
        let problem = "is neither a readable file nor a built-in scenario";
        Failure::Input(vec![format!("{file}: {problem}: {e}")])
    })
}

/// Reads and validates a scenario.
pub fn load(file: &str) -> Result<Scenario, Failure> {
    Scenario::read(&text(file)?).map_err(|all| invalid(file, &all))
}

/// Scales a scenario to a number of boxes.
///
/// # Errors
/// The scaled scenario is invalid: it refers to a box or proxy that no longer exists, or a value is out of bounds.
pub fn scaled(mut scenario: Scenario, boxes: usize) -> Result<Scenario, Failure> {
    let factor = boxes as f64 / scenario.topology.boxes as f64;
    let scale = |n: usize| ((n as f64 * factor).round() as usize).max(1);
    scenario.topology.boxes = boxes;
    scenario.topology.proxies = scale(scenario.topology.proxies);
    scenario.origin.places = scale(scenario.origin.places);
    scenario.origin.queue = scale(scenario.origin.queue);
    if scenario.discovery.calls_a_second > 0 {
        scenario.discovery.calls_a_second = scale(scenario.discovery.calls_a_second as usize) as u32;
    }
    scenario.traffic.keys = (scenario.traffic.keys as f64 * factor).ceil() as u64;
    scenario.traffic.rate *= factor;
    let name = scenario.name.clone();
    let table = toml::Table::try_from(scenario).map_err(|e| Failure::Io(e.to_string()))?;
    Scenario::from_table(table).map_err(|all| invalid(&name, &all))
}

/// An error with one line per problem.
pub fn invalid(file: &str, all: &[model::Problem]) -> Failure {
    Failure::Input(all.iter().map(|p| format!("{file}: {p}")).collect())
}

/// Validates a scenario or a sweep, and returns a line that describes it.
pub fn check(file: &str) -> Result<String, Failure> {
    let text = text(file)?;
    let table: Result<toml::Table, _> = text.parse();
    if table.is_ok_and(|t| t.contains_key("scenario")) {
        let plan = sweep::Plan::read(Path::new(file), &text)?;
        return Ok(format!("{file}: a sweep of {} runs", plan.runs().len()));
    }
    let scenario = Scenario::read(&text).map_err(|all| invalid(file, &all))?;
    Ok(format!("{file}: {}: {}", scenario.name, scenario.guards))
}

/// Lists the built-in scenarios, or prints the text of one scenario.
pub fn list(name: Option<&str>) -> Result<u8, Failure> {
    match name {
        Some(name) => print!("{}", text(name)?),
        None => {
            for (name, text) in BUILT_IN {
                let scenario = Scenario::read(text).map_err(|all| invalid(name, &all))?;
                println!("{name:16} {}", scenario.guards);
            }
        }
    }
    Ok(0)
}
