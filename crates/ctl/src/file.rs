//! The fleet's file: TOML that lists instances and their configurations.
//!
//! ```toml
//! version = 1
//!
//! [policy]
//! batch = 1
//!
//! [[instance]]
//! name = "n0"
//! zone = "joburg"
//! config = "n0.json"
//! ```

use fleet::plan::is_valid_name;
use fleet::Policy;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use trestlesill::config::Config;

/// The format version that this build reads.
const VERSION: i64 = 1;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: i64,
    #[serde(default)]
    policy: Policy,
    #[serde(default)]
    instance: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Instance {
    name: String,
    zone: String,
    /// Path of its configuration, relative to the fleet's file.
    config: PathBuf,
    /// Path of its operator's file, relative to the fleet's file. Without `[control]`, which the agent sets.
    operator: Option<PathBuf>,
}

/// Reads a fleet's file and the files that it names, as JSON for the agent's `apply`.
///
/// # Errors
/// All faults, one line each.
pub fn load(path: &Path) -> Result<Value, Vec<String>> {
    let display = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{display}: {e}")])?;
    let file: File = toml::from_str(&text).map_err(|e| {
        let line = e.span().map_or(1, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
        vec![format!("{display}: line {line}: {}", e.message())]
    })?;
    let mut faults = Vec::new();
    if file.version != VERSION {
        return Err(vec![format!(
            "{display}: version is {}; this build reads version {VERSION}",
            file.version
        )]);
    }
    if let Err(e) = file.policy.validate() {
        faults.push(format!("{display}: {e}"));
    }
    let mut instances = BTreeMap::new();
    let mut listens = BTreeMap::new();
    for instance in file.instance {
        let name = instance.name;
        if !is_valid_name(&name) {
            faults.push(format!("{display}: instance {name:?}: is no name"));
            continue;
        }
        let config_path = path.parent().unwrap_or(Path::new(".")).join(&instance.config);
        let text = match std::fs::read_to_string(&config_path) {
            Ok(text) => text,
            Err(e) => {
                faults.push(format!("{display}: instance {name}: {}: {e}", config_path.display()));
                continue;
            }
        };
        // The proxy validates its configuration in the same way at start.
        match Config::parse(&text, |_| None) {
            Err(e) => faults.push(format!("{display}: instance {name}: {}: {e}", config_path.display())),
            Ok(config) => {
                if let Some(other) = listens.insert(config.listen, name.clone()) {
                    faults.push(format!(
                        "{display}: instances {other} and {name} both listen at {}",
                        config.listen
                    ));
                }
            }
        }
        let mut config: Value = serde_json::from_str(&text).unwrap_or_default();
        if let Some(operator_path) = &instance.operator {
            let operator_path = path.parent().unwrap_or(Path::new(".")).join(operator_path);
            match load_operator_file(&operator_path, &name) {
                Ok(text) => config["operator"] = json!(text),
                Err(reasons) => {
                    faults.extend(reasons.into_iter().map(|e| format!("{display}: instance {name}: {e}")))
                }
            }
        }
        if instances.insert(name.clone(), json!({"zone": instance.zone, "config": config})).is_some() {
            faults.push(format!("{display}: instance {name} is named twice"));
        }
    }
    if faults.is_empty() {
        Ok(json!({"instances": instances, "policy": file.policy}))
    } else {
        Err(faults)
    }
}

/// Formats a fault of an operator's file as a line.
fn fault_line(path: &Path, fault: &operator::Fault) -> String {
    let colon = if fault.key.is_empty() { "" } else { ": " };
    format!("{}: {}{colon}{}", path.display(), fault.key, fault.reason)
}

/// Reads and validates the operator's file of an instance that an agent runs. The agent adds `[control]`.
fn load_operator_file(path: &Path, name: &str) -> Result<String, Vec<String>> {
    let display = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{display}: {e}")])?;
    let with_control = format!("{text}\n[control]\nsocket = \"/control.sock\"\n");
    match operator::Operator::parse(&with_control, name) {
        Ok(_) => Ok(text),
        Err(faults) => Err(faults.iter().map(|f| fault_line(path, f)).collect()),
    }
}

/// Validates a proxy's configuration (`.json`), a fleet's file or an operator's file, and returns which of them it is.
///
/// # Errors
/// All faults, one line each.
pub fn check(path: &Path) -> Result<&'static str, Vec<String>> {
    let display = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{display}: {e}")])?;
    if path.extension().is_some_and(|e| e == "json") {
        let checked = Config::parse(&text, |_| None);
        return checked.map(|_| "a proxy's configuration").map_err(|e| vec![format!("{display}: {e}")]);
    }
    let table: Result<toml::Table, _> = text.parse();
    if table.is_ok_and(|t| t.contains_key("instance") || t.contains_key("policy")) {
        return load(path).map(|_| "a fleet's file");
    }
    match operator::Operator::load(path, "name") {
        Ok(operator) => {
            let password_fault = |(i, user): (usize, &operator::User)| {
                let error = user.password.as_deref().and_then(|p| session::PasswordHash::parse(p).err())?;
                Some(format!("{display}: clients.users[{i}].password: {error}"))
            };
            let faults: Vec<String> =
                operator.clients.users.iter().enumerate().filter_map(password_fault).collect();
            if faults.is_empty() {
                Ok("an operator's file")
            } else {
                Err(faults)
            }
        }
        Err(invalid) => Err(invalid.faults.iter().map(|f| fault_line(path, f)).collect()),
    }
}
