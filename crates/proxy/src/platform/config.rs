//! What a proxy is told at its start: NODE_CONFIG, and the variables that repeat parts of it.

use super::discovery::{self, ListUpdate, TopologyNames};
use super::inherited;
use calicosaddle::api::{Nanos, Settings};

use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;

/// Why a proxy can't start with what it was told.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable is needed and not set.
    Missing(&'static str),
    /// The configuration file can't be read.
    Unreadable(String, std::io::Error),
    /// It is not JSON.
    Json(serde_json::Error),
    /// A part of it is missing or makes no sense.
    Bad(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::Missing(what) => write!(f, "{what} is not set"),
            ConfigError::Unreadable(path, e) => write!(f, "{path} can't be read: {e}"),
            ConfigError::Json(e) => write!(f, "the configuration is not JSON: {e}"),
            ConfigError::Bad(what) => write!(f, "the configuration is wrong: {what}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The configuration of a proxy.
#[derive(Debug)]
pub struct Config {
    /// This proxy's name, the same after a restart.
    pub name: String,
    /// Number of this configuration, as its operator counts them.
    pub generation: u64,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the listening socket for clients, where the platform keeps that.
    pub inherited_listener: Option<String>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The module's source of chance.
    pub seed: u64,
    /// Over this the proxy is killed.
    pub memory_mb: u64,
    /// File descriptors that it may hold.
    pub max_descriptors: usize,
    /// The module's settings.
    pub settings: Settings,
    /// Names of classes, as clients give them.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names that discovery uses.
    pub topology: TopologyNames,
    /// Columns of load reports, as cache nodes name them.
    pub load_report_columns: Vec<String>,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// Requests that a connection to a cache node carries at once.
    pub max_streams: usize,
    /// A cache node closes a connection that was idle for so long.
    pub connection_idle_timeout: Nanos,
    /// The longest time that a client waits.
    pub max_deadline: Nanos,
    /// The list as this proxy last had it.
    pub known_list: Option<ListUpdate>,
    /// The text of the operator's file that an agent gives this proxy with its configuration. It is read at start.
    pub operator_file: Option<String>,
}

impl Config {
    /// Reads the file that NODE_CONFIG names; NODE_LISTEN and NODE_DISCOVERY stand in for what it lacks.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigError::Missing("NODE_CONFIG"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path, e))?;
        Config::parse(&text, |name| std::env::var(name).ok())
    }

    /// Reads the text of such a file.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_str(text).map_err(ConfigError::Json)?;
        let address = |key: &str, name: &'static str| {
            let told = json[key].as_str().map(str::to_owned).or_else(|| variable(name));
            let told = told.ok_or(ConfigError::Missing(name))?;
            told.parse().map_err(|_| ConfigError::Bad(format!("{key} is no address: {told:?}")))
        };
        // The variable is this process's own; the file may have been replaced for another one.
        let admin = variable("NODE_ADMIN_ADDR").or_else(|| json["admin_addr"].as_str().map(str::to_owned));
        let admin = admin.filter(|a| !a.is_empty()).map(|told| {
            told.parse().map_err(|_| ConfigError::Bad(format!("admin_addr is no address: {told:?}")))
        });
        let Some(told) = json["settings"].as_object() else {
            return Err(ConfigError::Bad("settings are missing".into()));
        };
        let told = Value::Object(told.clone());
        let mut pairs = Vec::new();
        flatten("", &told, &mut pairs);
        let settings = wire::parse_settings(pairs.iter().map(String::as_str)).map_err(ConfigError::Bad)?;
        if settings.classes.is_empty() {
            return Err(ConfigError::Bad("settings.categories are missing".into()));
        }
        if settings.classes.iter().any(|c| c.deadline == 0) {
            return Err(ConfigError::Bad("a category has no deadline_ns".into()));
        }
        let seed = json["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let names = TopologyNames {
            zones: strings(&told["localities"]),
            machine_kinds: strings(&told["machine_types"]),
        };
        let known = match &json["known"] {
            Value::Null => None,
            list => {
                let news = discovery::read_list(list, &names);
                Some(news.map_err(|e| ConfigError::Bad(format!("known: {e}")))?)
            }
        };
        let limit = |key: &str, default: u64| json["limits"][key].as_u64().unwrap_or(default);
        let cap = |key: &str| told["caps"][key].as_u64();
        let name = json["name"].as_str().map(str::to_owned).or_else(|| variable("NODE_NAME"));
        Ok(Config {
            name: name.unwrap_or_default(),
            generation: json["generation"].as_u64().unwrap_or(0),
            listen: address("listen", "NODE_LISTEN")?,
            admin: admin.transpose()?,
            inherited_listener: variable(inherited::DESCRIPTOR_VARIABLE).filter(|d| !d.is_empty()),
            discovery: address("discovery", "NODE_DISCOVERY")?,
            seed: seed.ok_or_else(|| ConfigError::Bad("seed is missing or not hex".into()))?,
            memory_mb: limit("memory_mb", 128),
            max_descriptors: limit("sockets", 1024) as usize,
            classes: named(&told["categories"]),
            tenants: named(&told["customers"]),
            topology: names,
            load_report_columns: strings(&told["report"]["columns"]),
            max_open_requests: cap("max_open").unwrap_or(20_000) as usize,
            max_streams: cap("streams_per_conn").unwrap_or(1).max(1) as usize,
            connection_idle_timeout: cap("conn_idle_ns").unwrap_or(5_000 * MS),
            max_deadline: settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0),
            settings,
            known_list: known,
            operator_file: json["operator"].as_str().map(str::to_owned),
        })
    }
}

impl Config {
    /// What another configuration changes: the keys that can hold at once, and those that need a restart. The
    /// seed and the known list are for the start alone and are no change.
    pub fn changes(&self, new: &Config) -> (Vec<String>, Vec<String>) {
        let (s, n) = (&self.settings, &new.settings);
        let effects = |c: &Config| -> Vec<_> {
            let classes = c.settings.classes.iter();
            classes.map(|k| (k.retry_safety, k.dedup_scope, k.dedup_window, k.stream)).collect()
        };
        let list = |all: &[(&str, bool)]| {
            let named = all.iter().filter(|(_, changed)| *changed);
            named.map(|(key, _)| (*key).to_owned()).collect::<Vec<_>>()
        };
        let restart = list(&[
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin_addr", self.admin != new.admin),
            ("operator", self.operator_file != new.operator_file),
            ("limits.memory_mb", self.memory_mb != new.memory_mb),
            ("limits.sockets", self.max_descriptors != new.max_descriptors),
            // Requests are under way by the number of their class and the rules that it has.
            ("settings.categories", self.classes != new.classes || effects(self) != effects(new)),
            ("settings.customers", self.tenants != new.tenants),
            ("settings.localities", self.topology.zones != new.topology.zones),
            ("settings.machine_types", self.topology.machine_kinds != new.topology.machine_kinds),
            ("settings.report.columns", self.load_report_columns != new.load_report_columns),
            ("settings.zone", s.zone != n.zone),
            ("settings.self_index", s.proxy_index != n.proxy_index),
            ("settings.discovery", s.poll_discovery != n.poll_discovery),
            ("settings.family_info", (s.cache_aside, s.origin_kind) != (n.cache_aside, n.origin_kind)),
        ]);
        let now = list(&[
            ("discovery", self.discovery != new.discovery),
            ("settings.caps.max_open", self.max_open_requests != new.max_open_requests),
            ("settings.caps.streams_per_conn", self.max_streams != new.max_streams),
            ("settings.caps.conn_idle_ns", self.connection_idle_timeout != new.connection_idle_timeout),
            ("settings", restart.is_empty() && s != n),
        ]);
        (now, restart)
    }

    /// Takes over what holds at once of another configuration.
    pub fn apply(&mut self, new: Config) {
        self.generation = new.generation;
        (self.discovery, self.settings) = (new.discovery, new.settings);
        (self.max_open_requests, self.max_streams, self.connection_idle_timeout) =
            (new.max_open_requests, new.max_streams, new.connection_idle_timeout);
        // Danger: requests that were taken under the longer time still have it, also at the end of the process.
        self.max_deadline = self.max_deadline.max(new.max_deadline);
    }
}

fn strings(list: &Value) -> Vec<String> {
    let list = list.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|v| v.as_str().unwrap_or_default().to_owned()).collect()
}

fn named(list: &Value) -> Vec<String> {
    let list = list.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|v| v["name"].as_str().unwrap_or_default().to_owned()).collect()
}

/// Writes settings as the `path=value` pairs of the simulator's wire, so that one parser reads both.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<String>) {
    let below = |step: &str| if path.is_empty() { step.to_owned() } else { format!("{path}.{step}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(k, v)| flatten(&below(k), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push(format!("{}={}", below("count"), items.len()));
            items.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push(format!("{path}={}", items.join(",")));
        }
        value => pairs.push(format!("{path}={}", plain(value))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ','], "_"),
        value => value.to_string(),
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// A configuration for tests of other parts.
    pub fn sample() -> Config {
        Config::parse(GOOD, |_| None).expect("good")
    }

    const GOOD: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
        "limits":{"cores":0.5,"memory_mb":128,"sockets":1024},
        "known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:3","site":"b","class":"m2",
            "block":3,"health":"up","share":1.5,"born_ms":12,"new":[]}]},
        "settings":{"localities":["a","b"],"machine_types":["m1","m2"],"report":{"columns":["load_share"]},
            "caps":{"attempts_cap":5,"conn_idle_ns":4000000000,"probing":true},"discovery":"subscribe",
            "categories":[{"name":"read","deadline_ns":750000000,"effect":"safe","value":1.0},
                {"name":"put","deadline_ns":1000000000,"effect":"keyed","group":"all"}]}}"#;

    #[test]
    fn settings_reach_the_module_through_its_own_parser() {
        let c = sample();
        assert_eq!(
            (c.settings.classes.len(), c.settings.max_attempts, c.settings.poll_discovery),
            (2, 5, true)
        );
        assert!(c.settings.allow_probe && c.settings.load_report_columns.len() == 1);
        assert_eq!(
            (c.max_deadline, c.connection_idle_timeout, c.seed),
            (1_000 * MS, 4_000 * MS, 0x8c1f_30d2_7a5b_e964)
        );
        assert_eq!(c.classes, ["read", "put"]);
        let known = c.known_list.expect("known");
        let host = &known.hosts[0];
        assert_eq!(
            (known.version, host.entry.zone, host.entry.kind, host.entry.started_at),
            (41, 1, 1, 12 * MS)
        );
    }

    #[test]
    fn what_is_missing_or_wrong_is_named() {
        for (from, to, named) in [
            ("\"listen\":\"127.0.0.1:1\",", "", "NODE_LISTEN"),
            ("127.0.0.1:2", "nowhere", "discovery is no address"),
            ("\"effect\":\"safe\",\"value\":1.0", "\"value\":\"much\"", "categories.0.value"),
            ("8c1f30d27a5be964", "zz", "seed"),
            ("\"deadline_ns\":750000000", "\"deadline_ns\":0", "deadline_ns"),
            ("\"health\":\"up\"", "\"health\":\"odd\"", "known: "),
            ("\"settings\"", "\"unsettled\"", "settings are missing"),
            ("\"limits\"", "limits", "not JSON"),
        ] {
            let text = GOOD.replacen(from, to, 1);
            assert_ne!(text, GOOD);
            let error = Config::parse(&text, |_| None).map(|_| ()).expect_err(named).to_string();
            assert!(error.contains(named), "{error}");
        }
    }
}
