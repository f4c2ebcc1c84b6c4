//! Text codec of the protocol between the simulator and the balancer.
//!
//! A message is one line of fields separated by single spaces; `-` stands for an absent value. Settings are
//! `path=value` pairs.

use calicosaddle::api::*;
use std::fmt::Write as _;
use std::str::FromStr;

/// Maximum number of request classes, and of tenants, in the settings.
const MAX_SETTINGS_ROWS: usize = 4096;
/// Longest duration accepted from the wire, so that adding it to a time does not overflow.
const MAX_SPAN_NS: Nanos = u64::MAX / 4;

/// Bits of the `flags` field of a request.
const FLAG_ESTIMATE_VALID: u64 = 1;
const FLAG_REPEAT: u64 = 2;
const FLAG_WRITE: u64 = 4;

/// A parsed input line.
#[derive(Clone, Debug)]
pub enum Message {
    /// A batch of events at this time begins.
    BatchStart(Nanos),
    /// The batch is complete and its reply is due.
    BatchEnd,
    /// A server list follows, one [`Message::Entry`] per line; it replaces the content of a list buffer.
    ListBuffer {
        /// Buffer index, 0 to 15.
        index: usize,
        /// Number of entries that follow.
        entry_count: usize,
    },
    /// One entry of the server list, with the server's name.
    Entry(String, ServerEntry),
    /// A balancer instance starts.
    InstanceStart {
        /// Instance name.
        instance: String,
        /// Seed of its random source.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance receives a list update whose entries are in a list buffer.
    ListUpdate {
        /// Instance name.
        instance: String,
        /// What the entries are.
        kind: ListKind,
        /// Buffer index.
        buffer: usize,
    },
    /// The instance of this name stops.
    InstanceStop(String),
    /// Any other event, for the instance of this name.
    Event(String, Event),
    /// A message that the balancer does not use.
    Ignored,
}

type Fields<'a> = std::str::Split<'a, char>;

/// Reads the next field; `name` names it in the error.
fn required<'a>(fields: &mut Fields<'a>, name: &str) -> Result<&'a str, String> {
    match fields.next() {
        Some("") | None => Err(format!("{name} is missing")),
        Some(value) => Ok(value),
    }
}

fn number<T: FromStr>(fields: &mut Fields, name: &str) -> Result<T, String> {
    let value = required(fields, name)?;
    value.parse().map_err(|_| format!("{name}: expected a number, got {value:?}"))
}

fn optional_number<T: FromStr>(fields: &mut Fields, name: &str) -> Result<Option<T>, String> {
    match required(fields, name)? {
        "-" => Ok(None),
        value => {
            value.parse().map(Some).map_err(|_| format!("{name}: expected a number or -, got {value:?}"))
        }
    }
}

/// Reads a duration in nanoseconds. A negative one is the time left until a moment that has passed, and becomes 0.
fn span(fields: &mut Fields, name: &str) -> Result<Nanos, String> {
    Ok(number::<i128>(fields, name)?.clamp(0, i128::from(MAX_SPAN_NS)) as Nanos)
}

fn status(fields: &mut Fields) -> Result<Status, String> {
    Ok(match required(fields, "reason")? {
        "done" => Status::Ok,
        "err" => Status::Error,
        "busy" => Status::Rejected,
        "etimedout" => Status::Timeout,
        "econnrefused" => Status::ConnectFailed,
        "econnreset" => Status::Reset,
        "ecanceled" => Status::Cancelled,
        "skipped" => Status::NotSent,
        "enoent" => Status::Miss,
        value => {
            return Err(format!(
            "reason: expected done, err, busy, etimedout, econnrefused, econnreset, ecanceled, skipped or \
                 enoent, got {value:?}"
        ))
        }
    })
}

/// Reads a load report; an absent column becomes NaN.
fn load_report(fields: &mut Fields) -> Result<Vec<f64>, String> {
    match required(fields, "load")? {
        "-" => Ok(Vec::new()),
        columns => columns
            .split(',')
            .map(|value| if value == "-" { Ok(f64::NAN) } else { value.parse() })
            .collect::<Result<_, _>>()
            .map_err(|_| format!("load: expected comma-separated numbers, got {columns:?}")),
    }
}

/// Reads whether an answer was a hit: 1 is a hit, 0 or an absent value unknown, any other number a miss.
fn hit(fields: &mut Fields) -> Result<Option<bool>, String> {
    Ok(optional_number::<u32>(fields, "note")?.filter(|note| *note > 0).map(|note| note == 1))
}

fn instance(fields: &mut Fields) -> Result<String, String> {
    required(fields, "instance").map(str::to_owned)
}

fn request(fields: &mut Fields) -> Result<Request, String> {
    let mut request = Request {
        id: number(fields, "corr")?,
        class: number(fields, "grade")?,
        tenant: optional_number(fields, "user_group")?,
        ..Request::default()
    };
    let key = required(fields, "path_key")?;
    if key != "-" {
        let parsed = u64::from_str_radix(key, 16);
        request.key = Some(parsed.map_err(|_| format!("path_key: expected a hex number or -, got {key:?}"))?);
    }
    request.remaining = span(fields, "remaining_ns")?;
    request.expected_work = optional_number(fields, "estimate_ns")?;
    let _size: Option<f64> = optional_number(fields, "object_size")?;
    let flags: u64 = optional_number(fields, "flags")?.unwrap_or(0);
    request.expected_work = request.expected_work.filter(|_| flags & FLAG_ESTIMATE_VALID != 0);
    request.is_retry = flags & FLAG_REPEAT != 0;
    request.write = flags & FLAG_WRITE != 0;
    Ok(request)
}

fn outcome(fields: &mut Fields) -> Result<Outcome, String> {
    Ok(Outcome {
        id: number(fields, "corr")?,
        attempt: number(fields, "n")?,
        server: server_id(required(fields, "node")?),
        status: status(fields)?,
        elapsed: span(fields, "elapsed_ns")?,
        request_complete: required(fields, "final")? == "1",
        hit: hit(fields)?,
        load_report: load_report(fields)?,
    })
}

fn probe_outcome(fields: &mut Fields) -> Result<Event, String> {
    Ok(Event::Probed {
        server: server_id(required(fields, "node")?),
        status: status(fields)?,
        elapsed: span(fields, "elapsed_ns")?,
        load_report: load_report(fields)?,
    })
}

fn list_update(fields: &mut Fields) -> Result<Message, String> {
    let instance = instance(fields)?;
    let kind = match required(fields, "scope")? {
        "D" => ListKind::Delta,
        "F" => ListKind::Full,
        "C" => ListKind::Cached,
        "X" => ListKind::Failed,
        value => return Err(format!("scope: expected D, F, C or X, got {value:?}")),
    };
    let _version = required(fields, "index")?;
    let buffer = match fields.next() {
        Some(value) if kind != ListKind::Failed => {
            value.parse().map_err(|_| format!("buffer: expected a number, got {value:?}"))?
        }
        None if kind != ListKind::Failed => return Err("buffer is missing".into()),
        _ => 0,
    };
    Ok(Message::ListUpdate { instance, kind, buffer })
}

fn list_entry(fields: &mut Fields) -> Result<Message, String> {
    let name = required(fields, "node")?.to_owned();
    let server = server_id(&name);
    let zone = optional_number(fields, "failure_domain")?.unwrap_or(0);
    let kind = optional_number(fields, "generation_hw")?.unwrap_or(0);
    let cell = optional_number(fields, "cluster")?.unwrap_or(0);
    let state = match required(fields, "state")? {
        "IN" => ServerState::Ready,
        "LAME" => ServerState::Draining,
        "OUT" => ServerState::Removed,
        value => return Err(format!("state: expected IN, LAME or OUT, got {value:?}")),
    };
    let weight = optional_number(fields, "share")?.unwrap_or(1.0);
    let started_at = optional_number(fields, "launched_ns")?.unwrap_or(0);
    Ok(Message::Entry(name, ServerEntry { server, zone, kind, cell, state, weight, started_at }))
}

/// Parses one input line (without its line end).
pub fn parse_message(line: &str) -> Result<Message, String> {
    let mut fields = line.split(' ');
    let fields = &mut fields;
    let message = match required(fields, "message name")? {
        "arrival" => Message::Event(instance(fields)?, Event::Arrival(request(fields)?)),
        "report_back" => Message::Event(instance(fields)?, Event::Outcome(outcome(fields)?)),
        "tick_due" => Message::Event(instance(fields)?, Event::Timer(number(fields, "handle")?)),
        "expired" => Message::Event(instance(fields)?, Event::Abandoned(number(fields, "corr")?)),
        "first" => Message::Event(instance(fields)?, Event::StreamStarted(number(fields, "corr")?)),
        "sampled" => Message::Event(instance(fields)?, probe_outcome(fields)?),
        "backends_changed" => list_update(fields)?,
        "entry" => list_entry(fields)?,
        "page" => {
            Message::ListBuffer { index: number(fields, "buffer")?, entry_count: number(fields, "records")? }
        }
        "frame" => Message::BatchStart(number(fields, "clock")?),
        "go" => Message::BatchEnd,
        "new_instance" => {
            let instance = instance(fields)?;
            let seed = number(fields, "salt")?;
            Message::InstanceStart { instance, seed, settings: Box::new(parse_settings(fields)?) }
        }
        "shutdown" => Message::InstanceStop(instance(fields)?),
        "peer" => Message::Ignored,
        name => return Err(format!("message name: expected a known message, got {name:?}")),
    };
    Ok(message)
}

/// Parses `value` into `field`; `path` names the setting in the error.
fn set<T: FromStr>(field: &mut T, path: &str, value: &str) -> Result<(), String> {
    let expected = std::any::type_name::<T>();
    *field =
        value.parse().map_err(|_| format!("{path}: expected a value of type {expected}, got {value:?}"))?;
    Ok(())
}

/// Parses a duration in nanoseconds that may be written as a floating-point number.
fn nanos_from_float(path: &str, value: &str) -> Result<Nanos, String> {
    let nanos: f64 = value.parse().map_err(|_| format!("{path}: expected a number, got {value:?}"))?;
    Ok(nanos as Nanos)
}

/// Parses settings from their `path=value` pairs; unknown paths are skipped.
pub fn parse_settings<'a>(pairs: impl Iterator<Item = &'a str>) -> Result<Settings, String> {
    let mut settings = Settings::default();
    let mut origin_kind = -1i64;
    for pair in pairs {
        let Some((path, value)) = pair.split_once('=') else {
            return Err(format!("setting {pair:?}: expected path=value, got no value"));
        };
        let mut steps = path.splitn(3, '.');
        let step = (steps.next().unwrap_or(""), steps.next().unwrap_or(""), steps.next());
        match step {
            (table @ ("categories" | "customers"), "count", None) => {
                let mut count = 0usize;
                set(&mut count, path, value)?;
                if count > MAX_SETTINGS_ROWS {
                    return Err(format!("{path}: expected at most {MAX_SETTINGS_ROWS}, got {count}"));
                }
                if table == "categories" {
                    settings.classes.resize(count, Class::default());
                } else {
                    settings.tenants.resize(count, Tenant::default());
                }
            }
            ("categories", index, Some(field)) => {
                let index = index.parse::<usize>().ok();
                if let Some(class) = index.and_then(|index| settings.classes.get_mut(index)) {
                    set_class_field(class, field, path, value)?;
                }
            }
            ("customers", index, Some("quota_rps")) => {
                let index = index.parse::<usize>().ok();
                if let Some(tenant) = index.and_then(|index| settings.tenants.get_mut(index)) {
                    set(&mut tenant.quota_rps, path, value)?;
                }
            }
            _ if path == "family_info.origin_kind" => set(&mut origin_kind, path, value)?,
            _ => set_field(&mut settings, path, value)?,
        }
    }
    settings.origin_kind = u32::try_from(origin_kind).ok();
    Ok(settings)
}

/// Sets a field of a request class by its name in the settings; unknown fields are skipped. `path` names the setting in
/// an error.
fn set_class_field(class: &mut Class, field: &str, path: &str, value: &str) -> Result<(), String> {
    match field {
        "promise_ns" => set(&mut class.latency_target, path, value)?,
        "deadline_ns" => set(&mut class.deadline, path, value)?,
        "dedup_window_ns" => set(&mut class.dedup_window, path, value)?,
        "late_value" => set(&mut class.late_value, path, value)?,
        "value" => set(&mut class.value, path, value)?,
        "stream" => set(&mut class.stream, path, value)?,
        "effect" => {
            class.retry_safety = match value {
                "safe" => RetrySafety::Safe,
                "keyed" => RetrySafety::Keyed,
                // An unknown effect is taken for the one that never allows a repeat.
                _ => RetrySafety::Unsafe,
            }
        }
        "group" => {
            class.dedup_scope = match value {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                // An unknown group is taken for the smallest scope.
                _ => DedupScope::Cell,
            }
        }
        _ => {}
    }
    Ok(())
}

/// Sets any other setting by its path; unknown paths are skipped.
fn set_field(settings: &mut Settings, path: &str, value: &str) -> Result<(), String> {
    match path {
        "zone" => set(&mut settings.zone, path, value)?,
        "n_instances" => set(&mut settings.proxy_count, path, value)?,
        "self_index" => set(&mut settings.proxy_index, path, value)?,
        "discovery" => settings.poll_discovery = value == "subscribe",
        "family_info.mode" => settings.cache_aside = value == "aside",
        "family_info.origin_fall_multiple" => set(&mut settings.origin_overload_multiple, path, value)?,
        "family_info.origin_fall_ns" => settings.origin_overload_duration = nanos_from_float(path, value)?,
        "over_share_worth" => set(&mut settings.over_quota_value, path, value)?,
        "worth_by" => settings.value_per_work = value == "work",
        "caps.attempts_cap" => set(&mut settings.max_attempts, path, value)?,
        "caps.cancelling" => set(&mut settings.allow_cancel, path, value)?,
        "caps.probing" => set(&mut settings.allow_probe, path, value)?,
        "caps.second_copies" => set(&mut settings.hedging, path, value)?,
        "caps.max_retry_after_ns" => set(&mut settings.max_retry_after, path, value)?,
        "caps.connect_timeout_ns" => set(&mut settings.connect_timeout, path, value)?,
        "deductions.waste" => set(&mut settings.waste_price, path, value)?,
        "deductions.cross_zone" => set(&mut settings.cross_zone_price, path, value)?,
        "deductions.connection" => set(&mut settings.connection_price, path, value)?,
        "deductions.handshake" => set(&mut settings.handshake_price, path, value)?,
        "deductions.probe" => set(&mut settings.probe_price, path, value)?,
        "rules.cold_from" => set(&mut settings.slow_start_initial_fraction, path, value)?,
        "rules.cold_ns" => set(&mut settings.slow_start_duration, path, value)?,
        "rules.fall_multiple" => set(&mut settings.overload_multiple, path, value)?,
        "rules.fall_ns" => set(&mut settings.overload_duration, path, value)?,
        "rules.drain_grace_ns" => set(&mut settings.drain_grace, path, value)?,
        "rules.must_ask_in_ns" => set(&mut settings.discovery_poll_interval, path, value)?,
        "report.columns" => {
            let columns = value.split(',').filter(|column| !column.is_empty());
            settings.load_report_columns = columns.map(report_column).collect();
        }
        _ => {}
    }
    Ok(())
}

fn report_column(name: &str) -> LoadColumn {
    match name {
        "depth" => LoadColumn::Queue,
        "concurrent" => LoadColumn::Inflight,
        "mean_ms" => LoadColumn::LatencyMs,
        "load_share" => LoadColumn::Util,
        _ => LoadColumn::Other,
    }
}

/// Appends one action of an instance to a reply; `server_name` returns the name of a server on the wire.
pub fn write_action(
    reply: &mut String,
    instance: &str,
    action: &Action,
    server_name: impl Fn(ServerId) -> Option<String>,
) {
    let name = |server: &ServerId| server_name(*server).unwrap_or_default();
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, server, timeout } => {
            writeln!(reply, "deliver {instance} {id} {} {timeout}", name(server))
        }
        Action::Cancel { id, attempt } => writeln!(reply, "abandon {instance} {id} {attempt}"),
        Action::Refuse { id, retry_after } => writeln!(reply, "bounce {instance} {id} {retry_after}"),
        Action::Fail { id } => writeln!(reply, "abort {instance} {id}"),
        Action::Timer { token, delay } => writeln!(reply, "arm {instance} {token} {delay}"),
        Action::CloseIdle(server) => writeln!(reply, "close {instance} {}", name(server)),
        Action::Probe(server) => writeln!(reply, "touch {instance} {}", name(server)),
        Action::Subscribe => writeln!(reply, "stream_changes {instance} 1"),
    };
}
