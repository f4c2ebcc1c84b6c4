//! Text codec of the bench's wire: one line a message, parts separated by single spaces, `-` for absent.

use calicosaddle::api::*;
use std::fmt::Write as _;

/// A parsed input line.
#[derive(Clone, Debug)]
pub enum Message {
    /// A batch begins at this time.
    BatchStart(Nanos),
    /// The batch is complete.
    BatchEnd,
    /// A numbered list follows, of so many entries.
    ListBuffer {
        /// List number, 0 to 15.
        index: usize,
        /// Entries to come.
        entry_count: usize,
    },
    /// One entry of the list, with the server's name.
    Entry(String, Entry),
    /// An instance starts.
    InstanceStart {
        /// Instance.
        instance: String,
        /// Its random seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance is told of servers; the entries stand in a page.
    ListUpdate {
        /// Instance.
        instance: String,
        /// What the entries are.
        kind: ListKind,
        /// The page.
        buffer: usize,
    },
    /// An instance is gone.
    InstanceStop(String),
    /// Any other event of an instance.
    Event(String, Event),
    /// A message that this build does not use.
    Ignored,
}

type Parts<'a> = std::str::Split<'a, char>;

fn part<'a>(p: &mut Parts<'a>, what: &str) -> Result<&'a str, String> {
    match p.next() {
        Some("") | None => Err(format!("{what} is missing")),
        Some(v) => Ok(v),
    }
}

fn number<T: std::str::FromStr>(p: &mut Parts, what: &str) -> Result<T, String> {
    let v = part(p, what)?;
    v.parse().map_err(|_| format!("{what} is not a number: {v:?}"))
}

fn optional<T: std::str::FromStr>(p: &mut Parts, what: &str) -> Result<Option<T>, String> {
    match part(p, what)? {
        "-" => Ok(None),
        v => v.parse().map(Some).map_err(|_| format!("{what} is not a number: {v:?}")),
    }
}

fn time(p: &mut Parts, what: &str) -> Result<Nanos, String> {
    // A span may be negative on the wire (already over); it counts as 0.
    Ok(number::<i128>(p, what)?.clamp(0, i128::from(u64::MAX / 4)) as Nanos)
}

fn status(p: &mut Parts) -> Result<Status, String> {
    Ok(match part(p, "reason")? {
        "done" => Status::Ok,
        "err" => Status::Error,
        "busy" => Status::Full,
        "etimedout" => Status::Timeout,
        "econnrefused" => Status::ConnectFailed,
        "econnreset" => Status::Reset,
        "ecanceled" => Status::Cancelled,
        "skipped" => Status::Moot,
        "enoent" => Status::Miss,
        v => return Err(format!("reason is unknown: {v:?}")),
    })
}

fn load(p: &mut Parts) -> Result<Vec<f64>, String> {
    match part(p, "load")? {
        "-" => Ok(Vec::new()),
        row => row
            .split(',')
            .map(|v| if v == "-" { Ok(f64::NAN) } else { v.parse() })
            .collect::<Result<_, _>>()
            .map_err(|_| format!("load is not a row of numbers: {row:?}")),
    }
}

fn instance(p: &mut Parts) -> Result<String, String> {
    part(p, "instance").map(str::to_owned)
}

/// Parses one input line (without its line end).
pub fn parse_message(line: &str) -> Result<Message, String> {
    let mut parts = line.split(' ');
    let p = &mut parts;
    let parsed = match part(p, "message name")? {
        "arrival" => {
            let instance = instance(p)?;
            let mut r = Request {
                id: number(p, "corr")?,
                class: number(p, "grade")?,
                tenant: optional(p, "user_group")?,
                ..Request::default()
            };
            let key = part(p, "path_key")?;
            if key != "-" {
                let parsed = u64::from_str_radix(key, 16);
                r.key = Some(parsed.map_err(|_| format!("path_key is not hex: {key:?}"))?);
            }
            r.remaining = time(p, "remaining_ns")?;
            r.hint = optional(p, "estimate_ns")?;
            let _size: Option<f64> = optional(p, "object_size")?;
            let flags: u64 = optional(p, "flags")?.unwrap_or(0);
            r.hint = r.hint.filter(|_| flags & 1 != 0);
            r.repeat = flags & 2 != 0;
            r.write = flags & 4 != 0;
            Message::Event(instance, Event::Arrival(r))
        }
        "report_back" => Message::Event(
            instance(p)?,
            Event::Outcome(Outcome {
                id: number(p, "corr")?,
                attempt: number(p, "n")?,
                server: server_id(part(p, "node")?),
                status: status(p)?,
                elapsed: time(p, "elapsed_ns")?,
                last: part(p, "final")? == "1",
                hit: optional::<u32>(p, "note")?.filter(|n| *n > 0).map(|n| n == 1),
                load: load(p)?,
            }),
        ),
        "tick_due" => Message::Event(instance(p)?, Event::Timer(number(p, "handle")?)),
        "expired" => Message::Event(instance(p)?, Event::Expired(number(p, "corr")?)),
        "first" => Message::Event(instance(p)?, Event::First(number(p, "corr")?)),
        "sampled" => Message::Event(
            instance(p)?,
            Event::Probed {
                server: server_id(part(p, "node")?),
                status: status(p)?,
                elapsed: time(p, "elapsed_ns")?,
                load: load(p)?,
            },
        ),
        "backends_changed" => {
            let instance = instance(p)?;
            let kind = match part(p, "scope")? {
                "D" => ListKind::Delta,
                "F" => ListKind::Full,
                "C" => ListKind::Cached,
                "X" => ListKind::Failed,
                v => return Err(format!("scope is unknown: {v:?}")),
            };
            let _version = part(p, "index")?;
            let buffer = match p.next() {
                Some(v) if kind != ListKind::Failed => {
                    v.parse().map_err(|_| format!("buffer is not a number: {v:?}"))?
                }
                None if kind != ListKind::Failed => return Err("buffer is missing".into()),
                _ => 0,
            };
            Message::ListUpdate { instance, kind, buffer }
        }
        "entry" => {
            let name = part(p, "node")?.to_owned();
            let server = server_id(&name);
            let zone = optional(p, "failure_domain")?.unwrap_or(0);
            let kind = optional(p, "generation_hw")?.unwrap_or(0);
            let cell = optional(p, "cluster")?.unwrap_or(0);
            let state = match part(p, "state")? {
                "IN" => State::Ready,
                "LAME" => State::Draining,
                "OUT" => State::Gone,
                v => return Err(format!("state is unknown: {v:?}")),
            };
            let weight = optional(p, "share")?.unwrap_or(1.0);
            let started = optional(p, "launched_ns")?.unwrap_or(0);
            Message::Entry(name, Entry { server, zone, kind, cell, state, weight, started })
        }
        "page" => Message::ListBuffer { index: number(p, "buffer")?, entry_count: number(p, "records")? },
        "frame" => Message::BatchStart(number(p, "clock")?),
        "go" => Message::BatchEnd,
        "new_instance" => {
            let instance = instance(p)?;
            let seed = number(p, "salt")?;
            Message::InstanceStart { instance, seed, settings: Box::new(parse_settings(p)?) }
        }
        "shutdown" => Message::InstanceStop(instance(p)?),
        "peer" => Message::Ignored,
        v => return Err(format!("message is unknown: {v:?}")),
    };
    Ok(parsed)
}

fn set<T: std::str::FromStr>(slot: &mut T, path: &str, value: &str) -> Result<(), String> {
    *slot = value.parse().map_err(|_| format!("{path} has a bad value: {value:?}"))?;
    Ok(())
}

/// Reads settings from their `path=value` pairs; unknown paths are skipped.
pub fn parse_settings<'a>(p: impl Iterator<Item = &'a str>) -> Result<Settings, String> {
    let mut s = Settings::default();
    let mut origin = -1i64;
    for pair in p {
        let Some((path, v)) = pair.split_once('=') else {
            return Err(format!("setting has no value: {pair:?}"));
        };
        let mut steps = path.splitn(3, '.');
        let step = (steps.next().unwrap_or(""), steps.next().unwrap_or(""), steps.next());
        match step {
            ("categories" | "customers", "count", None) => {
                let mut n = 0usize;
                set(&mut n, path, v)?;
                if n > 4096 {
                    return Err(format!("{path} is too large: {n}"));
                }
                if step.0 == "categories" {
                    s.classes.resize(n, Class::default());
                } else {
                    s.tenants.resize(n, Tenant::default());
                }
            }
            ("categories", i, Some(field)) => {
                let Some(c) = i.parse::<usize>().ok().and_then(|i| s.classes.get_mut(i)) else {
                    continue;
                };
                match field {
                    "promise_ns" => set(&mut c.aim, path, v)?,
                    "deadline_ns" => set(&mut c.deadline, path, v)?,
                    "dedup_window_ns" => set(&mut c.dedup_window, path, v)?,
                    "late_value" => set(&mut c.late_value, path, v)?,
                    "value" => set(&mut c.worth, path, v)?,
                    "stream" => set(&mut c.stream, path, v)?,
                    "effect" => {
                        c.effect = match v {
                            "safe" => Effect::Safe,
                            "keyed" => Effect::Keyed,
                            // Anything new is held to the strictest rule.
                            _ => Effect::Unsafe,
                        }
                    }
                    "group" => {
                        c.group = match v {
                            "all" => Group::All,
                            "zone" => Group::Zone,
                            _ => Group::Cell,
                        }
                    }
                    _ => {}
                }
            }
            ("customers", i, Some("quota_rps")) => {
                if let Some(t) = i.parse::<usize>().ok().and_then(|i| s.tenants.get_mut(i)) {
                    set(&mut t.quota_rps, path, v)?;
                }
            }
            _ => match path {
                "zone" => set(&mut s.zone, path, v)?,
                "n_instances" => set(&mut s.proxies, path, v)?,
                "self_index" => set(&mut s.me, path, v)?,
                "discovery" => s.must_ask = v == "subscribe",
                "family_info.mode" => s.aside = v == "aside",
                "family_info.origin_kind" => set(&mut origin, path, v)?,
                "family_info.origin_fall_multiple" => set(&mut s.origin_fall_multiple, path, v)?,
                "family_info.origin_fall_ns" => s.origin_fall = whole(path, v)?,
                "over_share_worth" => set(&mut s.over_share_worth, path, v)?,
                "worth_by" => s.worth_by_work = v == "work",
                "caps.attempts_cap" => set(&mut s.max_attempts, path, v)?,
                "caps.cancelling" => set(&mut s.cancel, path, v)?,
                "caps.probing" => set(&mut s.probe, path, v)?,
                "caps.second_copies" => set(&mut s.second_copies, path, v)?,
                "caps.max_retry_after_ns" => set(&mut s.max_retry_after, path, v)?,
                "caps.connect_timeout_ns" => set(&mut s.connect_timeout, path, v)?,
                "deductions.waste" => set(&mut s.waste_price, path, v)?,
                "deductions.cross_zone" => set(&mut s.cross_zone_price, path, v)?,
                "deductions.connection" => set(&mut s.connection_price, path, v)?,
                "deductions.handshake" => set(&mut s.handshake_price, path, v)?,
                "deductions.probe" => set(&mut s.probe_price, path, v)?,
                "rules.cold_from" => set(&mut s.cold_from, path, v)?,
                "rules.cold_ns" => set(&mut s.cold, path, v)?,
                "rules.fall_multiple" => set(&mut s.fall_multiple, path, v)?,
                "rules.fall_ns" => set(&mut s.fall, path, v)?,
                "rules.drain_grace_ns" => set(&mut s.drain_grace, path, v)?,
                "rules.must_ask_in_ns" => set(&mut s.must_ask_in, path, v)?,
                "report.columns" => {
                    s.report = v.split(',').filter(|c| !c.is_empty()).map(column).collect();
                }
                _ => {}
            },
        }
    }
    s.origin_kind = u32::try_from(origin).ok();
    Ok(s)
}

fn whole(path: &str, v: &str) -> Result<Nanos, String> {
    let n: f64 = v.parse().map_err(|_| format!("{path} has a bad value: {v:?}"))?;
    Ok(n as Nanos)
}

fn column(name: &str) -> Report {
    match name {
        "depth" => Report::Queue,
        "concurrent" => Report::Inflight,
        "mean_ms" => Report::LatencyMs,
        "load_share" => Report::Util,
        _ => Report::Other,
    }
}

/// Appends one action of an instance to a reply; `name` gives the wire name of a server.
pub fn write_action(
    out: &mut String,
    instance: &str,
    action: &Action,
    name: impl Fn(ServerId) -> Option<String>,
) {
    let named = |s: &ServerId| name(*s).unwrap_or_default();
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, server, timeout } => {
            writeln!(out, "deliver {instance} {id} {} {timeout}", named(server))
        }
        Action::Cancel { id, attempt } => writeln!(out, "abandon {instance} {id} {attempt}"),
        Action::Refuse { id, retry_after } => writeln!(out, "bounce {instance} {id} {retry_after}"),
        Action::Fail { id } => writeln!(out, "abort {instance} {id}"),
        Action::Timer { token, delay } => writeln!(out, "arm {instance} {token} {delay}"),
        Action::Close(server) => writeln!(out, "close {instance} {}", named(server)),
        Action::Probe(server) => writeln!(out, "touch {instance} {}", named(server)),
        Action::Subscribe => writeln!(out, "stream_changes {instance} 1"),
    };
}
