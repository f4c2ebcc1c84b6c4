//! A fleet's file: TOML that names instances and their configurations.
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

/// The version of the format.
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
    /// Relative to the file.
    config: PathBuf,
    /// An operator's file for it, without `[control]`, which is the agent's. Relative to the file.
    operator: Option<PathBuf>,
}

/// Reads a fleet's file with all that it names, as the agent's `apply` wants it.
///
/// # Errors
/// All that is wrong, a line each.
pub fn load(path: &Path) -> Result<Value, Vec<String>> {
    let place = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{place}: {e}")])?;
    let file: File = toml::from_str(&text).map_err(|e| {
        let line = e.span().map_or(1, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
        vec![format!("{place}: line {line}: {}", e.message())]
    })?;
    let mut faults = Vec::new();
    if file.version != VERSION {
        return Err(vec![format!(
            "{place}: version is {}; this build reads version {VERSION}",
            file.version
        )]);
    }
    if let Err(e) = file.policy.validate() {
        faults.push(format!("{place}: {e}"));
    }
    let mut instances = BTreeMap::new();
    let mut listens = BTreeMap::new();
    for one in file.instance {
        let name = one.name;
        if !is_valid_name(&name) {
            faults.push(format!("{place}: instance {name:?}: is no name"));
            continue;
        }
        let config_path = path.parent().unwrap_or(Path::new(".")).join(&one.config);
        let text = match std::fs::read_to_string(&config_path) {
            Ok(text) => text,
            Err(e) => {
                faults.push(format!("{place}: instance {name}: {}: {e}", config_path.display()));
                continue;
            }
        };
        // The same check that the proxy makes at its start.
        match Config::parse(&text, |_| None) {
            Err(e) => faults.push(format!("{place}: instance {name}: {}: {e}", config_path.display())),
            Ok(config) => {
                if let Some(other) = listens.insert(config.listen, name.clone()) {
                    faults.push(format!(
                        "{place}: instances {other} and {name} both listen at {}",
                        config.listen
                    ));
                }
            }
        }
        let mut config: Value = serde_json::from_str(&text).unwrap_or_default();
        if let Some(told) = &one.operator {
            let at = path.parent().unwrap_or(Path::new(".")).join(told);
            match operators(&at, &name) {
                Ok(text) => config["operator"] = json!(text),
                Err(why) => faults.extend(why.into_iter().map(|e| format!("{place}: instance {name}: {e}"))),
            }
        }
        if instances.insert(name.clone(), json!({"zone": one.zone, "config": config})).is_some() {
            faults.push(format!("{place}: instance {name} is named twice"));
        }
    }
    if faults.is_empty() {
        Ok(json!({"instances": instances, "policy": file.policy}))
    } else {
        Err(faults)
    }
}

/// A fault of an operator's file, as a line.
fn fault(path: &Path, f: &operator::Fault) -> String {
    let colon = if f.key.is_empty() { "" } else { ": " };
    format!("{}: {}{colon}{}", path.display(), f.key, f.reason)
}

/// The operator's file of an instance that an agent runs; the agent says where it is steered.
fn operators(path: &Path, name: &str) -> Result<String, Vec<String>> {
    let place = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{place}: {e}")])?;
    let whole = format!("{text}\n[control]\nsocket = \"/control.sock\"\n");
    match operator::Operator::parse(&whole, name) {
        Ok(_) => Ok(text),
        Err(faults) => Err(faults.iter().map(|f| fault(path, f)).collect()),
    }
}

/// Checks a file of any kind: a proxy's configuration (`.json`), a fleet's file, an operator's file.
///
/// # Errors
/// All that is wrong, a line each.
pub fn check(path: &Path) -> Result<&'static str, Vec<String>> {
    let place = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{place}: {e}")])?;
    if path.extension().is_some_and(|e| e == "json") {
        let checked = Config::parse(&text, |_| None);
        return checked.map(|_| "a proxy's configuration").map_err(|e| vec![format!("{place}: {e}")]);
    }
    let table: Result<toml::Table, _> = text.parse();
    if table.is_ok_and(|t| t.contains_key("instance") || t.contains_key("policy")) {
        return load(path).map(|_| "a fleet's file");
    }
    match operator::Operator::load(path, "name") {
        Ok(operator) => {
            let password = |(i, user): (usize, &operator::User)| {
                let error = user.password.as_deref().and_then(|p| session::PasswordHash::parse(p).err())?;
                Some(format!("{place}: clients.users[{i}].password: {error}"))
            };
            let faults: Vec<String> =
                operator.clients.users.iter().enumerate().filter_map(password).collect();
            if faults.is_empty() {
                Ok("an operator's file")
            } else {
                Err(faults)
            }
        }
        Err(invalid) => Err(invalid.faults.iter().map(|f| fault(path, f)).collect()),
    }
}
