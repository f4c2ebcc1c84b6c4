//! Shadow traffic: copies of reads that are sent to candidates, boxes that are not in service yet. Crate `shadow`
//! decides which reads are copied, when and how many; this module holds the connections. Each connection carries one
//! copy at a time and is closed on anything but the one answer that it waits for, so that a late answer is never taken
//! for that of the next copy.
//!
//! All of this runs at the end of an iteration of the event loop, after live answers and attempts are written. A copy
//! is not an attempt: the balancer, the statistics of the live boxes and the clients are not affected by it.

use crate::event_loop::Source;
use crate::platform::config::Config;
use crate::request::Query;
use crate::timers::{TimerEvent, Timers};
use crate::{Proxy, MS};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use calicosaddle::api::{server_id, Nanos, RequestId, RetrySafety};
use control::message::{Code, Error, ShadowStatus};
use control::State;
use mio::net::TcpStream;
use mio::{Events, Interest, Registry};
use resp::{Reply, ReplyKind, ReplyParser};
use shadow::sample::{Digest, Tenants, PARTS_PER_MILLION};
use shadow::verdict::Tolerance;
use shadow::{
    CommandError, CopyRequest, CopyResult, LiveLoad, PersistedState, Read, ReadOutcome, Settings, Shadow,
};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read as _, Write as _};
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection that has been idle for this long is closed.
const IDLE_TIMEOUT: Nanos = 10_000 * MS;
/// How much longer than its value an answer may be: note, load report and framing.
const MAX_ANSWER_OVERHEAD_BYTES: usize = 4 << 10;
/// The shortest lease.
const MIN_LEASE_MS: u64 = 1_000;
/// The longest lease.
const MAX_LEASE_MS: u64 = 24 * 3_600 * 1_000;

// ---- settings ----

/// Combines the `[shadow]` section of the operator's file with the configuration.
///
/// # Errors
/// One line for each key whose value is not valid with this configuration.
pub fn settings(operator: &operator::Shadow, config: &Config) -> Result<Settings, String> {
    let mut faults = Vec::new();
    let classes = copied_classes(operator, config, &mut faults);
    let tenants = copied_tenants(operator, config, &mut faults);
    for (i, candidate) in operator.candidates.iter().enumerate() {
        let mut hosts = config.known_list.iter().flat_map(|k| &k.hosts);
        if let Some(host) = hosts.find(|h| h.addresses.iter().any(|d| is_tcp_address(d, *candidate))) {
            faults.push(format!("shadow.candidates[{i}]: {candidate} is the live box {:?}", host.name));
        }
    }
    let proxies = proxy_count_and_index(config);
    let parts = |share: f64| ((share * f64::from(PARTS_PER_MILLION)) as u32).max(1);
    let settings = Settings {
        classes,
        tenants,
        salt: operator.salt,
        initial_sampling_ppm: parts(operator.first_share),
        max_sampling_ppm: parts(operator.share),
        ramp_step: operator.step_seconds * 1_000 * MS,
        copies_per_second: operator.copies_per_second,
        max_open_copies: operator.connections,
        max_value_bytes: operator.answer_bytes,
        max_held_bytes: operator.held_bytes,
        max_cpu_share: operator.cpu_share,
        misses_per_second: operator.misses_per_second,
        proxy_count: proxies[0],
        proxy_index: proxies[1],
        copy_timeout: operator.deadline_ms * MS,
        tolerance: Tolerance {
            difference_rate: operator.tolerated_different,
            slowdown: operator.tolerated_slower,
        },
        stop_difference_rate: operator.stop_different,
        max_samples: operator.samples,
    };
    if operator.misses_per_second < 2 * proxies[0] {
        faults.push(format!(
            "shadow.misses_per_second: is {}; {} proxies need {} for one each",
            operator.misses_per_second,
            proxies[0],
            2 * proxies[0]
        ));
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults.join("\n"))
    }
}

/// Whether reads of each class are copied, by the index of the class.
fn copied_classes(operator: &operator::Shadow, config: &Config, faults: &mut Vec<String>) -> Vec<bool> {
    let mut classes = vec![false; config.classes.len()];
    for name in &operator.classes {
        match config.classes.iter().position(|c| c == name) {
            None => faults.push(format!("shadow.classes: the settings have no category {name:?}")),
            Some(index) if config.settings.classes[index].retry_safety != RetrySafety::Safe => {
                faults.push(format!("shadow.classes: {name:?} is not safe to repeat"));
            }
            Some(index) => classes[index] = true,
        }
    }
    classes
}

/// The tenants whose reads are copied.
fn copied_tenants(operator: &operator::Shadow, config: &Config, faults: &mut Vec<String>) -> Tenants {
    let mut indices = |key: &str, names: &[String]| -> Vec<u32> {
        let index = |name: &String| {
            let index = config.tenants.iter().position(|t| t == name);
            if index.is_none() {
                faults.push(format!("shadow.{key}: the settings have no customer {name:?}"));
            }
            index.map(|index| index as u32)
        };
        names.iter().filter_map(index).collect()
    };
    match (&operator.tenants, &operator.except_tenants) {
        (Some(only), _) => Tenants::Only(indices("tenants", only)),
        (None, Some(except)) => Tenants::Except(indices("except_tenants", except)),
        (None, None) => Tenants::All,
    }
}

/// The number of proxies, and this proxy's index among them.
fn proxy_count_and_index(config: &Config) -> [u32; 2] {
    [config.settings.proxy_count.max(1), config.settings.proxy_index]
}

fn is_tcp_address(address: &addresses::Address, candidate: SocketAddr) -> bool {
    matches!(address, addresses::Address::Tcp(tcp) if *tcp == candidate)
}

// ---- connections to candidates ----

/// A connection to a candidate.
#[derive(Debug)]
struct Connection {
    candidate: u64,
    stream: TcpStream,
    connected: bool,
    output: Vec<u8>,
    written: usize,
    /// The number of the copy that it carries, and when that was written in full.
    copy: Option<(u64, Option<Nanos>)>,
    parser: ReplyParser,
    reply_bytes: Vec<u8>,
    /// When it last began or finished carrying a copy.
    last_used: Nanos,
}

/// The copying of reads, with its connections.
#[derive(Debug)]
pub struct ShadowTraffic {
    shadow: Shadow,
    /// The candidates' addresses by id.
    addresses: BTreeMap<u64, SocketAddr>,
    /// Candidates that are live boxes, or have been since copying was last started.
    live_candidates: BTreeSet<u64>,
    connections: Slab<Connection>,
    max_connections: usize,
    max_value_bytes: usize,
    /// Copies selected in this iteration of the event loop, to be sent at its end.
    pending: Vec<(CopyRequest, Rc<Query>)>,
    /// The prefix of the request ids of copies, unique to this process among all proxies and their restarts.
    id_prefix: String,
    /// The counts of served and refused requests at the last sweep.
    previous_counts: [u64; 2],
}

impl ShadowTraffic {
    /// Creates the copying of reads in the kept state; no read is copied until copying is started.
    pub fn new(
        operator: &operator::Shadow,
        settings: Settings,
        config: &Config,
        kept: PersistedState,
        now: Nanos,
    ) -> Self {
        let addresses: BTreeMap<u64, SocketAddr> =
            operator.candidates.iter().map(|a| (server_id(&a.to_string()), *a)).collect();
        let mut shadow = Shadow::new(settings, kept, now);
        shadow.set_candidates(addresses.keys().copied().collect(), now);
        ShadowTraffic {
            shadow,
            addresses,
            live_candidates: BTreeSet::new(),
            connections: Slab::new(),
            max_connections: operator.connections,
            max_value_bytes: operator.answer_bytes,
            pending: Vec::new(),
            id_prefix: format!("shadow-{:016x}-", server_id(&config.name) ^ now),
            previous_counts: [0; 2],
        }
    }

    /// Records that a client writes this key, both when the write arrives and when it is answered.
    pub fn note_write(&mut self, key: u64) {
        self.shadow.note_write(key);
    }

    /// Applies a changed number of proxies, or a changed index of this one.
    pub fn set_proxies(&mut self, config: &Config) {
        let [count, index] = proxy_count_and_index(config);
        self.shadow.set_proxies(count, index);
    }

    /// Handles a read that a live box has served and whose client has its answer.
    fn read_served(
        &mut self,
        query: &Rc<Query>,
        reply: &Reply,
        bytes: &[u8],
        took: Option<Nanos>,
        now: Nanos,
    ) {
        let value = bytes.get(reply.value.clone()).unwrap_or_default();
        let wanted = self.shadow.is_wanted(query.class, query.tenant, query.key)
            && value.len() <= self.max_value_bytes;
        let live = if wanted { ReadOutcome::Value(Digest::of(value)) } else { ReadOutcome::Error };
        self.offer_copy(query, live, value.len(), reply.hit(), took, now);
    }

    /// Offers a served read for copying, and queues the copy if it is selected.
    fn offer_copy(
        &mut self,
        query: &Rc<Query>,
        live: ReadOutcome,
        length: usize,
        hit: Option<bool>,
        took: Option<Nanos>,
        now: Nanos,
    ) {
        let (class, tenant, key) = (query.class, query.tenant, query.key);
        if let Some(copy) = self.shadow.offer_read(
            &Read { class, tenant, key, outcome: live, value_bytes: length, hit, latency: took },
            now,
        ) {
            self.pending.push((copy, query.clone()));
        }
    }

    /// Sends the selected copies and sets their time-outs.
    fn send_pending(&mut self, registry: &Registry, timers: &mut Timers, now: Nanos) {
        for (copy, query) in std::mem::take(&mut self.pending) {
            let Some(key) = self.idle_connection(copy.candidate, registry, now) else {
                self.finish_copy(copy.number, ReadOutcome::Error, None, 0, now);
                continue;
            };
            let connection = &mut self.connections[key];
            connection.output.clear();
            let id = format!("{}{:x}", self.id_prefix, copy.number);
            let timeout_ms = (copy.deadline.saturating_sub(now) / MS).max(1);
            query.encode_with_id(id.as_bytes(), timeout_ms, &mut connection.output);
            (connection.written, connection.copy) = (0, Some((copy.number, None)));
            connection.last_used = now;
            timers.set(copy.deadline, TimerEvent::ShadowTimeout(copy.number));
            if connection.connected {
                self.flush(key, now);
            }
        }
    }

    /// An idle connection to a candidate, opened if there is none. At the limit, the connection to another candidate
    /// that has been idle longest is closed for it.
    fn idle_connection(&mut self, candidate: u64, registry: &Registry, now: Nanos) -> Option<usize> {
        let is_idle = |(_, c): &(usize, &Connection)| c.copy.is_none();
        let mut idle = self.connections.iter().filter(is_idle);
        let existing = idle.find(|(_, c)| c.candidate == candidate).map(|(key, _)| key);
        if existing.is_some() {
            return existing;
        }
        if self.connections.len() >= self.max_connections {
            let (oldest, _) = self.connections.iter().filter(is_idle).min_by_key(|(_, c)| c.last_used)?;
            self.connections.remove(oldest);
        }
        let mut stream = TcpStream::connect(*self.addresses.get(&candidate)?).ok()?;
        let _ = stream.set_nodelay(true);
        let entry = self.connections.vacant_entry();
        let token = Source::ShadowConnection(entry.key()).token();
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).ok()?;
        let key = entry.key();
        entry.insert(Connection {
            candidate,
            stream,
            connected: false,
            output: Vec::new(),
            written: 0,
            copy: None,
            parser: ReplyParser::default(),
            reply_bytes: Vec::new(),
            last_used: now,
        });
        Some(key)
    }

    /// Writes as much of the output as the socket accepts.
    fn flush(&mut self, key: usize, now: Nanos) {
        while let Some(c) = self.connections.get_mut(key).filter(|c| c.written < c.output.len()) {
            match c.stream.write(&c.output[c.written..]) {
                Ok(n) => {
                    c.written += n;
                    if let Some((_, written_at)) = c.copy.as_mut().filter(|_| c.written == c.output.len()) {
                        *written_at = Some(now);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key, ReadOutcome::Error, now),
            }
        }
    }

    /// Handles a connection that is readable or writable.
    fn ready(&mut self, key: usize, buffer: &mut [u8], now: Nanos) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if !connection.connected {
            match (connection.stream.take_error(), connection.stream.peer_addr()) {
                (Ok(None), Ok(_)) => connection.connected = true,
                (Ok(None), Err(e)) if e.kind() == io::ErrorKind::NotConnected => return,
                _ => return self.close(key, ReadOutcome::Error, now),
            }
        }
        self.flush(key, now);
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.stream.read(buffer) {
                Ok(0) => return self.close(key, ReadOutcome::Error, now),
                Ok(n) => self.receive(key, &buffer[..n], now),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key, ReadOutcome::Error, now),
            }
        }
    }

    /// Handles input on a connection. A complete answer ends the copy; its time counts from the end of
    /// writing the command.
    fn receive(&mut self, key: usize, input: &[u8], now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        let max_bytes = self.max_value_bytes + MAX_ANSWER_OVERHEAD_BYTES;
        // Unsolicited bytes, and an answer that is too long to be compared, close the connection.
        let fits = c.reply_bytes.len() + input.len() <= max_bytes;
        let Some((number, Some(written_at))) = c.copy.filter(|_| fits) else {
            return self.close(key, ReadOutcome::Error, now);
        };
        c.reply_bytes.extend_from_slice(input);
        let Ok((used, reply)) = c.parser.feed(input) else { return self.close(key, ReadOutcome::Error, now) };
        // A long value arrives in parts, which are not compared.
        let is_long = c.parser.take_part(reply.as_ref()).is_some();
        let Some(reply) = reply else { return };
        let value = c.reply_bytes.get(reply.value.clone()).unwrap_or_default();
        let side = match reply.kind {
            _ if is_long || value.len() > self.max_value_bytes || used < input.len() => ReadOutcome::Error,
            ReplyKind::Served => ReadOutcome::Value(Digest::of(value)),
            ReplyKind::Busy => ReadOutcome::Busy,
            ReplyKind::Failed if c.reply_bytes.first() == Some(&b'*') => ReadOutcome::Missing,
            ReplyKind::Failed => ReadOutcome::Error,
        };
        (c.copy, c.last_used) = (None, now);
        c.reply_bytes.clear();
        if is_long || used < input.len() {
            self.connections.remove(key);
        }
        self.finish_copy(number, side, reply.hit(), now.saturating_sub(written_at), now);
    }

    /// Closes a connection. The copy that it carried, if any, ends with this result.
    fn close(&mut self, key: usize, side: ReadOutcome, now: Nanos) {
        if let Some((number, _)) = self.connections.try_remove(key).and_then(|c| c.copy) {
            self.finish_copy(number, side, None, 0, now);
        }
    }

    fn finish_copy(&mut self, number: u64, side: ReadOutcome, hit: Option<bool>, took: Nanos, now: Nanos) {
        let cancelled = self.shadow.copy_ended(number, CopyResult { outcome: side, hit, latency: took }, now);
        self.cancel(&cancelled);
    }

    /// Handles the time-out of a copy.
    pub fn copy_timeout(&mut self, number: u64, now: Nanos) {
        let carries = |(_, c): &(usize, &Connection)| c.copy.is_some_and(|(n, _)| n == number);
        if let Some((key, _)) = self.connections.iter().find(carries) {
            self.close(key, ReadOutcome::TimedOut, now);
        }
    }

    /// Cancels copies, and closes the connections that carry them.
    fn cancel(&mut self, numbers: &[u64]) {
        if !numbers.is_empty() {
            self.connections.retain(|_, c| c.copy.is_none_or(|(n, _)| !numbers.contains(&n)));
            self.pending.retain(|(copy, _)| !numbers.contains(&copy.number));
        }
    }

    // ---- candidates ----

    /// Excludes candidates that have become live boxes, until copying is started again.
    fn exclude_live(&mut self, is_live: impl Fn(SocketAddr) -> bool, now: Nanos) {
        let live = self.addresses.iter().filter(|(_, address)| is_live(**address));
        let live: Vec<u64> = live.map(|(id, _)| *id).collect();
        if live.iter().all(|id| self.live_candidates.contains(id)) {
            return;
        }
        self.live_candidates.extend(live);
        self.apply_candidates(now);
    }

    fn apply_candidates(&mut self, now: Nanos) {
        let ids = self.addresses.keys().copied().filter(|id| !self.live_candidates.contains(id)).collect();
        let cancelled = self.shadow.set_candidates(ids, now);
        self.cancel(&cancelled);
        let live = &self.live_candidates;
        self.connections.retain(|_, c| !live.contains(&c.candidate));
    }

    /// Passes on the load of the live side, with `counts` of served and refused requests since the start, and closes
    /// idle connections.
    fn sweep(&mut self, mut load: LiveLoad, counts: [u64; 2], now: Nanos) {
        let previous = std::mem::replace(&mut self.previous_counts, counts);
        [load.served, load.refused] = [0, 1].map(|i| (counts[i] - previous[i]) as u32);
        let cancelled = self.shadow.update_load(&load, now);
        self.cancel(&cancelled);
        self.connections.retain(|_, c| c.copy.is_some() || now.saturating_sub(c.last_used) < IDLE_TIMEOUT);
    }

    // ---- commands from the control endpoint ----

    /// Starts copying, or extends its lease.
    ///
    /// # Errors
    /// The lease is out of range, or the generation is outdated.
    pub fn start(&mut self, generation: u64, lease_ms: u64, now: Nanos) -> Result<(), Error> {
        if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&lease_ms) {
            let message = format!("lease_ms is {lease_ms}; {MIN_LEASE_MS} to {MAX_LEASE_MS} is allowed");
            return Err(Error::new(Code::BadRequest, message));
        }
        let is_newer = generation > self.shadow.persisted_state().generation;
        self.shadow.start(generation, lease_ms * MS, now).map_err(refusal)?;
        if is_newer {
            self.live_candidates.clear();
            self.apply_candidates(now);
        }
        Ok(())
    }

    /// Stops copying.
    ///
    /// # Errors
    /// The generation is outdated.
    pub fn stop(&mut self, generation: u64, now: Nanos) -> Result<(), Error> {
        let cancelled = self.shadow.stop(generation, now).map_err(refusal)?;
        self.cancel(&cancelled);
        self.connections.clear();
        Ok(())
    }

    /// The status of copying, and the results of comparing the answers.
    pub fn status(&self, classes: &[String]) -> ShadowStatus {
        let name = |class: &u32| classes.get(*class as usize).cloned().unwrap_or_default();
        ShadowStatus {
            status: self.shadow.status(),
            report: self.shadow.report(),
            samples: self.shadow.samples().copied().collect(),
            times: self
                .shadow
                .latencies()
                .iter()
                .map(|(class, t)| (name(class), STANDARD.encode(t.to_bytes())))
                .collect(),
        }
    }
}

fn refusal(reason: CommandError) -> Error {
    match reason {
        CommandError::Stale(current) => {
            Error::new(Code::Stale, format!("generation {current} of the copying is in force"))
        }
        CommandError::Stopped(stop) => Error::new(
            Code::Stale,
            format!("copying under this generation has stopped: {stop:?}; start a later one"),
        ),
    }
}

// ---- the proxy's side ----

impl Proxy {
    /// The command of a request that is about to be answered, if copying needs to know of the answer.
    pub(crate) fn query_to_shadow(&self, id: RequestId) -> Option<Rc<Query>> {
        let shadow_traffic = self.shadow_traffic.as_ref().filter(|s| s.shadow.is_on());
        shadow_traffic.and_then(|_| self.requests.unanswered_query(id).cloned())
    }

    /// Handles a request that a live box has served and whose client has its answer.
    pub(crate) fn shadow_served(
        &mut self,
        query: &Rc<Query>,
        reply: &Reply,
        bytes: &[u8],
        took: Option<Nanos>,
    ) {
        let started = self.event_loop.clock.now();
        let Some(shadow_traffic) = &mut self.shadow_traffic else { return };
        if query.write {
            shadow_traffic.note_write(query.key);
            return;
        }
        let now = self.event_loop.now;
        shadow_traffic.read_served(query, reply, bytes, took, now);
        shadow_traffic.shadow.record_cpu_time(self.event_loop.clock.now().saturating_sub(started), now);
    }

    /// Handles a long value that a live box begins to serve. It is streamed to the client, so it cannot be compared.
    pub(crate) fn shadow_long_value(&mut self, query: &Rc<Query>, length: usize) {
        if let Some(shadow_traffic) = self.shadow_traffic.as_mut().filter(|_| !query.write) {
            let length = length.max(shadow_traffic.max_value_bytes + 1);
            shadow_traffic.offer_copy(query, ReadOutcome::Error, length, None, None, self.event_loop.now);
        }
    }

    /// Reads answers from candidates and sends the selected copies, at the end of an iteration of the event loop.
    pub(crate) fn run_shadow_traffic(&mut self, events: &Events) {
        let Some(shadow_traffic) = &mut self.shadow_traffic else { return };
        let ready_connections = || {
            let key = |source| if let Source::ShadowConnection(key) = source { Some(key) } else { None };
            events.iter().filter_map(move |e| key(Source::of(e)))
        };
        if shadow_traffic.pending.is_empty() && ready_connections().next().is_none() {
            return;
        }
        self.event_loop.update_now();
        let started = self.event_loop.now;
        for key in ready_connections() {
            shadow_traffic.ready(key, &mut self.buffer, started);
        }
        let (registry, timers) = self.event_loop.registry_and_timers();
        shadow_traffic.send_pending(registry, timers, started);
        let now = self.event_loop.clock.now();
        shadow_traffic.shadow.record_cpu_time(now.saturating_sub(started), now);
    }

    /// Excludes candidates that are live boxes, after the list of boxes has changed.
    pub(crate) fn update_candidates(&mut self) {
        if let Some(shadow_traffic) = &mut self.shadow_traffic {
            let is_live = |candidate| self.boxes.has_address(|address| is_tcp_address(address, candidate));
            shadow_traffic.exclude_live(is_live, self.event_loop.now);
        }
    }

    /// Reports the load of the live side to copying; `loop_delay` is how late the event loop was for the sweep.
    pub(crate) fn sweep_shadow_traffic(&mut self, loop_delay: Nanos) {
        let Some(shadow_traffic) = &mut self.shadow_traffic else { return };
        let counters = self.observers.counters;
        let (open, room) = (self.requests.len(), self.config.max_open_requests);
        let load = LiveLoad { loop_delay, open, max_open: room, ..LiveLoad::default() };
        shadow_traffic.sweep(load, [counters.served, counters.refused], self.event_loop.now);
        self.persist_shadow_state();
    }

    /// Writes the part of the state that must survive a restart, if it has changed.
    pub(crate) fn persist_shadow_state(&mut self) {
        let Some(shadow_traffic) = &self.shadow_traffic else { return };
        let kept = shadow_traffic.shadow.persisted_state();
        if kept != self.persisted.state.shadow {
            let state = State { shadow: kept, ..self.persisted.state.clone() };
            if let Err(e) = self.persisted.store(state) {
                eprintln!("shadow: state not saved: {e}");
                // The state in memory is authoritative; the file is written again with the next change.
                self.persisted.state.shadow = kept;
            }
            self.change_count += 1;
        }
    }
}
