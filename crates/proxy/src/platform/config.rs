//! The configuration of a proxy: the JSON file that `NODE_CONFIG` names, and environment variables that supplement it.

use super::discovery::{self, ListUpdate, TopologyNames};
use super::inherited;
use super::start::open_at_start;
use crate::io_error::ErrorCause;
use calicosaddle::api::{Nanos, Settings};

use serde_json::Value;
use std::fmt;
use std::io;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const DEFAULT_MEMORY_MB: u64 = 128;
const DEFAULT_DESCRIPTORS: u64 = 1024;
const DEFAULT_OPEN_REQUESTS: u64 = 20_000;
const DEFAULT_CONNECTION_IDLE_TIMEOUT: Nanos = 5_000 * MS;

/// Why a configuration can't be used.
#[derive(Debug)]
pub enum ConfigError {
    /// A required environment variable is not set.
    MissingVariable(&'static str),
    /// The configuration file at this path can't be read.
    Unreadable(String, std::io::Error),
    /// The configuration file is not JSON.
    InvalidJson(serde_json::Error),
    /// A key is missing or has an invalid value.
    Invalid(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::MissingVariable(name) => write!(f, "{name} is not set"),
            ConfigError::Unreadable(path, e) => write!(f, "{path} can't be read: {e}"),
            ConfigError::InvalidJson(e) => write!(f, "the configuration is not JSON: {e}"),
            ConfigError::Invalid(reason) => write!(f, "the configuration is wrong: {reason}"),
        }
    }
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    /// Whether the file could not be read for lack of something on this machine, which may pass.
    pub fn is_local_shortage(&self) -> bool {
        match self {
            ConfigError::Unreadable(_, error) => {
                matches!(ErrorCause::of(error), ErrorCause::LocalShortage | ErrorCause::Interrupted)
            }
            ConfigError::MissingVariable(_) | ConfigError::InvalidJson(_) | ConfigError::Invalid(_) => false,
        }
    }
}

/// The configuration of a proxy.
#[derive(Debug)]
pub struct Config {
    /// The name of this proxy, which stays the same after a restart.
    pub name: String,
    /// The generation number of this configuration, assigned by the operator.
    pub generation: u64,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the admin endpoint, if there is one.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket if the platform hands one over.
    pub inherited_listener: Option<String>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random source.
    pub seed: u64,
    /// The memory limit in MB, above which the proxy is killed.
    pub memory_mb: u64,
    /// The maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// The balancer's settings.
    pub settings: Settings,
    /// The class names that clients use, in the order of the settings.
    pub classes: Vec<String>,
    /// The tenant names, in the order of the settings.
    pub tenants: Vec<String>,
    /// The zone and machine type names that discovery uses.
    pub topology: TopologyNames,
    /// The columns of load reports, by the names that cache nodes use.
    pub load_report_columns: Vec<String>,
    /// The maximum number of open requests.
    pub max_open_requests: usize,
    /// The maximum number of concurrent requests on one connection to a cache node.
    pub max_streams: usize,
    /// How long a connection may be idle before the cache node closes it.
    pub connection_idle_timeout: Nanos,
    /// The longest deadline of all classes.
    pub max_deadline: Nanos,
    /// The last list of cache nodes that this proxy had before it was restarted.
    pub known_list: Option<ListUpdate>,
    /// The text of the operator's file, if an agent delivers it with the configuration. It is read at start only.
    pub operator_file: Option<String>,
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names. `NODE_LISTEN`, `NODE_DISCOVERY` and `NODE_NAME` replace missing keys.
    ///
    /// # Errors
    /// The file can't be read, or its content can't be used.
    pub fn from_env() -> Result<Config, ConfigError> {
        Config::read(|path| std::fs::read_to_string(path))
    }

    /// As [`Config::from_env`], at the start of a process: waits while this machine lacks something for reading the file.
    ///
    /// # Errors
    /// As for [`Config::from_env`].
    pub fn from_env_at_start() -> Result<Config, ConfigError> {
        Config::read(|path| open_at_start(|| std::fs::read_to_string(path)))
    }

    /// Reads the file that the environment names by `read`.
    fn read(read: impl Fn(&str) -> io::Result<String>) -> Result<Config, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigError::MissingVariable("NODE_CONFIG"))?;
        let text = read(&path).map_err(|e| ConfigError::Unreadable(path, e))?;
        Config::parse(&text, |name| std::env::var(name).ok())
    }

    /// Parses the text of a configuration file; `variable` looks up environment variables.
    ///
    /// # Errors
    /// A key is missing or has an invalid value, or the text is not JSON.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_str(text).map_err(ConfigError::InvalidJson)?;
        let address = |key: &str, variable_name: &'static str| {
            let text = json[key].as_str().map(str::to_owned).or_else(|| variable(variable_name));
            let text = text.ok_or(ConfigError::MissingVariable(variable_name))?;
            parse_address(key, &text)
        };
        // The variable takes precedence: it belongs to this process, while the file may since have been replaced.
        let admin = variable("NODE_ADMIN_ADDR").or_else(|| json["admin_addr"].as_str().map(str::to_owned));
        let admin = admin.filter(|text| !text.is_empty()).map(|text| parse_address("admin_addr", &text));
        let Some(fields) = json["settings"].as_object() else {
            return Err(ConfigError::Invalid("settings are missing".into()));
        };
        let settings_json = Value::Object(fields.clone());
        let mut pairs = Vec::new();
        flatten("", &settings_json, &mut pairs);
        let settings =
            wire::parse_settings(pairs.iter().map(String::as_str)).map_err(ConfigError::Invalid)?;
        if settings.classes.is_empty() {
            return Err(ConfigError::Invalid("settings.categories are missing".into()));
        }
        if settings.classes.iter().any(|c| c.deadline == 0) {
            return Err(ConfigError::Invalid("a category has no deadline_ns".into()));
        }
        let seed = json["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let topology = TopologyNames {
            zones: strings(&settings_json["localities"]),
            machine_kinds: strings(&settings_json["machine_types"]),
        };
        let known_list = match &json["known"] {
            Value::Null => None,
            list => {
                let update = discovery::read_list(list, &topology);
                Some(update.map_err(|e| ConfigError::Invalid(format!("known: {e}")))?)
            }
        };
        let limit = |key: &str, default: u64| json["limits"][key].as_u64().unwrap_or(default);
        let cap = |key: &str| settings_json["caps"][key].as_u64();
        let name = json["name"].as_str().map(str::to_owned).or_else(|| variable("NODE_NAME"));
        Ok(Config {
            name: name.unwrap_or_default(),
            generation: json["generation"].as_u64().unwrap_or(0),
            listen: address("listen", "NODE_LISTEN")?,
            admin: admin.transpose()?,
            inherited_listener: variable(inherited::DESCRIPTOR_VARIABLE).filter(|d| !d.is_empty()),
            discovery: address("discovery", "NODE_DISCOVERY")?,
            seed: seed.ok_or_else(|| ConfigError::Invalid("seed is missing or not hex".into()))?,
            memory_mb: limit("memory_mb", DEFAULT_MEMORY_MB),
            max_descriptors: limit("sockets", DEFAULT_DESCRIPTORS) as usize,
            classes: names(&settings_json["categories"]),
            tenants: names(&settings_json["customers"]),
            topology,
            load_report_columns: strings(&settings_json["report"]["columns"]),
            max_open_requests: cap("max_open").unwrap_or(DEFAULT_OPEN_REQUESTS) as usize,
            max_streams: cap("streams_per_conn").unwrap_or(1).max(1) as usize,
            connection_idle_timeout: cap("conn_idle_ns").unwrap_or(DEFAULT_CONNECTION_IDLE_TIMEOUT),
            max_deadline: settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0),
            settings,
            known_list,
            operator_file: json["operator"].as_str().map(str::to_owned),
        })
    }
}

impl Config {
    /// The keys that differ in a new configuration: first those that can change in a running proxy, then those that
    /// need a restart. The seed and the known list only matter at start, so they are not compared.
    pub fn changes(&self, new: &Config) -> (Vec<String>, Vec<String>) {
        let (old_settings, new_settings) = (&self.settings, &new.settings);
        let retry_rules = |config: &Config| -> Vec<_> {
            let classes = config.settings.classes.iter();
            classes.map(|c| (c.retry_safety, c.dedup_scope, c.dedup_window, c.stream)).collect()
        };
        let changed_keys = |all: &[(&str, bool)]| {
            let changed = all.iter().filter(|(_, changed)| *changed);
            changed.map(|(key, _)| (*key).to_owned()).collect::<Vec<_>>()
        };
        let needs_restart = changed_keys(&[
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin_addr", self.admin != new.admin),
            ("operator", self.operator_file != new.operator_file),
            ("limits.memory_mb", self.memory_mb != new.memory_mb),
            ("limits.sockets", self.max_descriptors != new.max_descriptors),
            // Open requests refer to their class by its index and rely on its retry rules.
            ("settings.categories", self.classes != new.classes || retry_rules(self) != retry_rules(new)),
            ("settings.customers", self.tenants != new.tenants),
            ("settings.localities", self.topology.zones != new.topology.zones),
            ("settings.machine_types", self.topology.machine_kinds != new.topology.machine_kinds),
            ("settings.report.columns", self.load_report_columns != new.load_report_columns),
            ("settings.zone", old_settings.zone != new_settings.zone),
            ("settings.self_index", old_settings.proxy_index != new_settings.proxy_index),
            ("settings.discovery", old_settings.poll_discovery != new_settings.poll_discovery),
            (
                "settings.family_info",
                (old_settings.cache_aside, old_settings.origin_kind)
                    != (new_settings.cache_aside, new_settings.origin_kind),
            ),
        ]);
        let live = changed_keys(&[
            ("discovery", self.discovery != new.discovery),
            ("settings.caps.max_open", self.max_open_requests != new.max_open_requests),
            ("settings.caps.streams_per_conn", self.max_streams != new.max_streams),
            ("settings.caps.conn_idle_ns", self.connection_idle_timeout != new.connection_idle_timeout),
            ("settings", needs_restart.is_empty() && old_settings != new_settings),
        ]);
        (live, needs_restart)
    }

    /// Adopts the values of a new configuration that can change in a running proxy.
    pub fn apply(&mut self, new: Config) {
        self.generation = new.generation;
        (self.discovery, self.settings) = (new.discovery, new.settings);
        (self.max_open_requests, self.max_streams, self.connection_idle_timeout) =
            (new.max_open_requests, new.max_streams, new.connection_idle_timeout);
        // Requests accepted under a longer deadline keep it, and shutdown has to wait for them.
        self.max_deadline = self.max_deadline.max(new.max_deadline);
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Invalid(format!("{key} is not a socket address: {text:?}")))
}

/// The strings of a JSON array.
fn strings(array: &Value) -> Vec<String> {
    let items = array.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().map(|item| item.as_str().unwrap_or_default().to_owned()).collect()
}

/// The `name` fields of the objects in a JSON array.
fn names(array: &Value) -> Vec<String> {
    let items = array.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().map(|item| item["name"].as_str().unwrap_or_default().to_owned()).collect()
}

/// Appends the settings as `path=value` pairs in the simulator's wire format, so that one parser reads both formats.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<String>) {
    let child_path = |step: &str| if path.is_empty() { step.to_owned() } else { format!("{path}.{step}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            fields.iter().for_each(|(key, field)| flatten(&child_path(key), field, pairs));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push(format!("{}={}", child_path("count"), items.len()));
            items.iter().enumerate().for_each(|(i, item)| flatten(&child_path(&i.to_string()), item, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.push(format!("{path}={}", items.join(",")));
        }
        scalar => pairs.push(format!("{path}={}", scalar_text(scalar))),
    }
}

/// The text of a scalar. The wire format uses spaces and commas as separators, so they are replaced.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        value => value.to_string(),
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// A valid configuration, also for the tests of other modules.
    pub fn sample() -> Config {
        Config::parse(SAMPLE, |_| None).expect("valid configuration")
    }

    const SAMPLE: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
        "limits":{"cores":0.5,"memory_mb":128,"sockets":1024},
        "known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:3","site":"b","class":"m2",
            "block":3,"health":"up","share":1.5,"born_ms":12,"new":[]}]},
        "settings":{"localities":["a","b"],"machine_types":["m1","m2"],"report":{"columns":["load_share"]},
            "caps":{"attempts_cap":5,"conn_idle_ns":4000000000,"probing":true},"discovery":"subscribe",
            "categories":[{"name":"read","deadline_ns":750000000,"effect":"safe","value":1.0},
                {"name":"put","deadline_ns":1000000000,"effect":"keyed","group":"all"}]}}"#;

    #[test]
    fn settings_reach_the_balancer_through_the_shared_settings_parser() {
        let config = sample();
        assert_eq!(
            (config.settings.classes.len(), config.settings.max_attempts, config.settings.poll_discovery),
            (2, 5, true)
        );
        assert!(config.settings.allow_probe && config.settings.load_report_columns.len() == 1);
        assert_eq!(
            (config.max_deadline, config.connection_idle_timeout, config.seed),
            (1_000 * MS, 4_000 * MS, 0x8c1f_30d2_7a5b_e964)
        );
        assert_eq!(config.classes, ["read", "put"]);
        let known_list = config.known_list.expect("known list");
        let host = &known_list.hosts[0];
        assert_eq!(
            (known_list.version, host.entry.zone, host.entry.kind, host.entry.started_at),
            (41, 1, 1, 12 * MS)
        );
    }

    #[test]
    fn errors_name_the_missing_or_invalid_key() {
        for (from, to, expected) in [
            ("\"listen\":\"127.0.0.1:1\",", "", "NODE_LISTEN"),
            ("127.0.0.1:2", "nowhere", "discovery is not a socket address"),
            ("\"effect\":\"safe\",\"value\":1.0", "\"value\":\"much\"", "categories.0.value"),
            ("8c1f30d27a5be964", "zz", "seed"),
            ("\"deadline_ns\":750000000", "\"deadline_ns\":0", "deadline_ns"),
            ("\"health\":\"up\"", "\"health\":\"odd\"", "known: "),
            ("\"settings\"", "\"unsettled\"", "settings are missing"),
            ("\"limits\"", "limits", "not JSON"),
        ] {
            let text = SAMPLE.replacen(from, to, 1);
            assert_ne!(text, SAMPLE);
            let error = Config::parse(&text, |_| None).map(|_| ()).expect_err(expected).to_string();
            assert!(error.contains(expected), "{error}");
        }
    }
}
