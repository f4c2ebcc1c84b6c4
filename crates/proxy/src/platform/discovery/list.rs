//! Lists of cache nodes in discovery's JSON format.

use addresses::Address;
use calicosaddle::api::{server_id, Nanos, ServerEntry, ServerState};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;

/// The names of zones and machine types in lists, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct TopologyNames {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of machine types.
    pub machine_kinds: Vec<String>,
}

/// A cache node in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, which is the same at every proxy.
    pub name: Box<str>,
    /// The entry for the balancer.
    pub entry: ServerEntry,
    /// Its addresses, in the order of the list. A removed node may have none.
    pub addresses: Vec<Address>,
    /// Descriptions of the listed addresses that could not be parsed.
    pub invalid_addresses: Vec<String>,
}

/// A full list of cache nodes, or the changes to an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version of the list.
    pub version: u64,
    /// True if all nodes are listed, false if only those that changed.
    pub full: bool,
    /// The listed nodes.
    pub hosts: Vec<Host>,
}

/// The number of nodes that are named in a log line.
const MAX_LOGGED_NODES: usize = 4;

impl ListUpdate {
    /// The nodes in it that are to get nothing new, as a log line: their number, and the names and states of the first.
    pub fn describe_leaving(&self) -> Option<String> {
        let leaving = || self.hosts.iter().filter(|host| host.entry.state != ServerState::Ready);
        let count = leaving().count();
        let name = |host: &Host| format!("{} {}", host.name, state_name(host.entry.state));
        let named: Vec<String> = leaving().take(MAX_LOGGED_NODES).map(name).collect();
        let more = if count > named.len() { ", ..." } else { "" };
        (count > 0).then(|| format!("{count} leaving: {}{more}", named.join(", ")))
    }
}

/// Why a list could not be obtained.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// The connection failed, or the response is malformed, truncated or too long.
    Http(&'static str),
    /// Discovery responded with this status instead of 200.
    Status(u16),
    /// The body is not JSON.
    Json,
    /// This field is missing or has an invalid value.
    Field(&'static str),
    /// The list has the first version, which is older than the second one, the version in force.
    Older(u64, u64),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ListError::Http(reason) => write!(f, "bad answer: {reason}"),
            ListError::Status(code) => write!(f, "answered {code}"),
            ListError::Json => write!(f, "not JSON"),
            ListError::Field(name) => write!(f, "{name} is missing or wrong"),
            ListError::Older(received, current) => {
                write!(f, "seq {received} is older than {current}, which is in force")
            }
        }
    }
}

/// Parses a list in discovery's JSON format.
///
/// # Errors
/// A field is missing or has an invalid value.
pub fn read_list(json: &Value, names: &TopologyNames) -> Result<ListUpdate, ListError> {
    let version = json["seq"].as_u64().ok_or(ListError::Field("seq"))?;
    let full = json["whole"].as_bool().ok_or(ListError::Field("whole"))?;
    let hosts = json["hosts"].as_array().ok_or(ListError::Field("hosts"))?;
    let hosts = hosts.iter().map(|host| read_host(host, names)).collect::<Result<_, _>>()?;
    Ok(ListUpdate { version, full, hosts })
}

/// The name of a state in discovery.
pub fn state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "up",
        ServerState::Draining => "draining",
        ServerState::Removed => "removed",
    }
}

fn read_host(json: &Value, names: &TopologyNames) -> Result<Host, ListError> {
    let name = json["host"].as_str().filter(|name| !name.is_empty()).ok_or(ListError::Field("host"))?;
    let state = match json["health"].as_str() {
        Some("up") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("removed") => ServerState::Removed,
        // Treating an unknown state as a known one could send work to a node that must not get any.
        _ => return Err(ListError::Field("health")),
    };
    // An entry has one address in `dial`, or an ordered list in `dials`, which takes precedence. A node without any
    // valid address in `dials` gets no connection, but the rest of the list is used.
    let (addresses, invalid_addresses) = match json["dials"].as_array() {
        Some(all) => addresses::parse_list(all.iter().map(|address| address.as_str().unwrap_or_default())),
        None => {
            let dial: Option<SocketAddr> = json["dial"].as_str().and_then(|d| d.parse().ok());
            if dial.is_none() && state != ServerState::Removed {
                return Err(ListError::Field("dial"));
            }
            (dial.map(Address::Tcp).into_iter().collect(), Vec::new())
        }
    };
    let number = |key: &str| json[key].as_u64().unwrap_or(0);
    // A zone or machine type that is not in the settings equals no other.
    let index_of = |known: &[String], name: &Value| {
        let index = name.as_str().and_then(|n| known.iter().position(|k| k == n)).map(|i| i as u64);
        index.or(name.as_u64()).map_or(u32::MAX, |i| i as u32)
    };
    let entry = ServerEntry {
        server: server_id(name),
        zone: index_of(&names.zones, &json["site"]),
        kind: index_of(&names.machine_kinds, &json["class"]),
        cell: number("block") as u32,
        state,
        weight: json["share"].as_f64().unwrap_or(1.0),
        started_at: number("born_ms").saturating_mul(MS),
    };
    Ok(Host { name: name.into(), entry, addresses, invalid_addresses })
}
