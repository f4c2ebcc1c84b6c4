//! Copies of reads to candidates, boxes that are not in service yet. Which, when and how many is `shadow`'s to say; this
//! holds the connections. Each carries one copy at a time and is closed at whatever is not the one answer that it waits
//! for, so that no late one can pass for the next.
//!
//! All of it comes last in a turn of the loop, when real answers and attempts have been written, and is no attempt of
//! anything: the decision module, the boxes' figures and the clients never hear of it.

use crate::platform::config::Config;
use crate::request::Query;
use crate::timers::{Due, Timers};
use crate::turn::Source;
use crate::{Proxy, MS};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use calicosaddle::api::{server_id, Nanos, RequestId, RetrySafety};
use control::message::{Code, Copying, Error};
use control::State;
use mio::net::TcpStream;
use mio::{Events, Interest, Registry};
use resp::{Kind, Reply, ReplyParser};
use shadow::sample::{Digest, Tenants, WHOLE};
use shadow::verdict::Tolerance;
use shadow::{Copy, Ended, Kept, Read, Refused, Settings, Shadow, Side, Vitals};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read as _, Write as _};
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection that carried nothing for so long is closed.
const IDLE: Nanos = 10_000 * MS;
/// An answer may be so much longer than its value: note, load report and framing.
const FRAME: usize = 4 << 10;
/// The longest lease.
const LONGEST_LEASE_MS: u64 = 24 * 3_600 * 1_000;

/// What the operator's file allows, with what the configuration says.
///
/// # Errors
/// All keys that can't hold, a line each.
pub fn settings(told: &operator::Shadow, config: &Config) -> Result<Settings, String> {
    let mut faults = Vec::new();
    let mut classes = vec![false; config.classes.len()];
    for name in &told.classes {
        match config.classes.iter().position(|c| c == name) {
            None => faults.push(format!("shadow.classes: the settings have no category {name:?}")),
            Some(at) if config.settings.classes[at].retry_safety != RetrySafety::Safe => {
                faults.push(format!("shadow.classes: {name:?} is not safe to repeat"));
            }
            Some(at) => classes[at] = true,
        }
    }
    let mut numbers = |key: &str, names: &[String]| -> Vec<u32> {
        let number = |name: &String| {
            let at = config.tenants.iter().position(|t| t == name);
            if at.is_none() {
                faults.push(format!("shadow.{key}: the settings have no customer {name:?}"));
            }
            at.map(|at| at as u32)
        };
        names.iter().filter_map(number).collect()
    };
    let tenants = match (&told.tenants, &told.except_tenants) {
        (Some(only), _) => Tenants::Only(numbers("tenants", only)),
        (None, Some(except)) => Tenants::Except(numbers("except_tenants", except)),
        (None, None) => Tenants::All,
    };
    for (i, candidate) in told.candidates.iter().enumerate() {
        let hosts = config.known_list.iter().flat_map(|k| &k.hosts);
        if let Some(host) = hosts.into_iter().find(|h| h.addresses.iter().any(|d| is(d, *candidate))) {
            faults.push(format!("shadow.candidates[{i}]: {candidate} is the live box {:?}", host.name));
        }
    }
    let proxies = proxies(config);
    let parts = |share: f64| ((share * f64::from(WHOLE)) as u32).max(1);
    let settings = Settings {
        classes,
        tenants,
        salt: told.salt,
        parts: [parts(told.first_share), parts(told.share)],
        step: told.step_seconds * 1_000 * MS,
        copies: told.copies_per_second,
        open: told.connections,
        bytes: [told.answer_bytes, told.held_bytes],
        cpu: told.cpu_share,
        misses: told.misses_per_second,
        proxies,
        deadline: told.deadline_ms * MS,
        tolerance: Tolerance { different: told.tolerated_different, slower: told.tolerated_slower },
        stop_different: told.stop_different,
        samples: told.samples,
    };
    if told.misses_per_second < 2 * proxies[0] {
        faults.push(format!(
            "shadow.misses_per_second: is {}; {} proxies need {} for one each",
            told.misses_per_second,
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

/// How many proxies there are, and which of them this is.
fn proxies(config: &Config) -> [u32; 2] {
    [config.settings.proxy_count.max(1), config.settings.proxy_index]
}

fn is(dial: &addresses::Address, candidate: SocketAddr) -> bool {
    matches!(dial, addresses::Address::Tcp(at) if *at == candidate)
}

/// A connection to a candidate.
#[derive(Debug)]
struct Link {
    candidate: u64,
    stream: TcpStream,
    up: bool,
    out: Vec<u8>,
    written: usize,
    /// The copy that it carries, by its number, and when that was written whole.
    copy: Option<(u64, Option<Nanos>)>,
    parser: ReplyParser,
    bytes: Vec<u8>,
    /// When it last carried anything.
    moved: Nanos,
}

/// Copying, with its connections.
#[derive(Debug)]
pub struct Copies {
    shadow: Shadow,
    at: BTreeMap<u64, SocketAddr>,
    /// Candidates that are, or since the last start were, boxes of the list.
    live: BTreeSet<u64>,
    links: Slab<Link>,
    most: usize,
    longest: usize,
    /// Copies that were chosen in this turn.
    chosen: Vec<(Copy, Rc<Query>)>,
    /// Begins the ids of copies: no other proxy's, and no other process's, begin so.
    prefix: String,
    /// Requests served and refused when the live side was last looked at.
    seen: [u64; 2],
}

impl Copies {
    /// Nothing is copied before it is started.
    pub fn new(told: &operator::Shadow, settings: Settings, config: &Config, kept: Kept, now: Nanos) -> Self {
        let at: BTreeMap<u64, SocketAddr> =
            told.candidates.iter().map(|a| (server_id(&a.to_string()), *a)).collect();
        let mut shadow = Shadow::new(settings, kept, now);
        shadow.candidates(at.keys().copied().collect(), now);
        Copies {
            shadow,
            at,
            live: BTreeSet::new(),
            links: Slab::new(),
            most: told.connections,
            longest: told.answer_bytes,
            chosen: Vec::new(),
            prefix: format!("shadow-{:016x}-", server_id(&config.name) ^ now),
            seen: [0; 2],
        }
    }

    /// A client writes this key, or has been answered.
    pub fn wrote(&mut self, key: u64) {
        self.shadow.wrote(key);
    }

    /// There are so many proxies, and this is the one with this index.
    pub fn proxies(&mut self, config: &Config) {
        let [all, this] = proxies(config);
        self.shadow.proxies(all, this);
    }

    /// A live box served a read, and its client has the answer.
    fn read(&mut self, query: &Rc<Query>, reply: &Reply, bytes: &[u8], took: Option<Nanos>, now: Nanos) {
        let value = bytes.get(reply.value.clone()).unwrap_or_default();
        let wanted = self.shadow.wants(query.class, query.tenant, query.key) && value.len() <= self.longest;
        let live = if wanted { Side::Value(Digest::of(value)) } else { Side::Error };
        self.observe(query, live, value.len(), reply.hit(), took, now);
    }

    /// The same, told to the choices.
    fn observe(
        &mut self,
        query: &Rc<Query>,
        live: Side,
        length: usize,
        hit: Option<bool>,
        took: Option<Nanos>,
        now: Nanos,
    ) {
        let (class, tenant, key) = (query.class, query.tenant, query.key);
        if let Some(copy) = self.shadow.read(&Read { class, tenant, key, live, length, hit, took }, now) {
            self.chosen.push((copy, query.clone()));
        }
    }

    // ---- connections ----

    /// Sends what was chosen. The times are up then.
    fn send(&mut self, registry: &Registry, timers: &mut Timers, now: Nanos) {
        for (copy, query) in std::mem::take(&mut self.chosen) {
            let Some(key) = self.link(copy.candidate, registry, now) else {
                self.ended(copy.number, Side::Error, None, 0, now);
                continue;
            };
            let link = &mut self.links[key];
            link.out.clear();
            let id = format!("{}{:x}", self.prefix, copy.number);
            query.encode_as(id.as_bytes(), (copy.until.saturating_sub(now) / MS).max(1), &mut link.out);
            (link.written, link.copy, link.moved) = (0, Some((copy.number, None)), now);
            timers.set(copy.until, Due::Copy(copy.number));
            if link.up {
                self.write(key, now);
            }
        }
    }

    /// A connection to a candidate that carries nothing, a new one if need be.
    fn link(&mut self, candidate: u64, registry: &Registry, now: Nanos) -> Option<usize> {
        let free = |(_, l): &(usize, &Link)| l.copy.is_none();
        let own = self.links.iter().filter(free).find(|(_, l)| l.candidate == candidate).map(|(key, _)| key);
        if own.is_some() {
            return own;
        }
        if self.links.len() >= self.most {
            let (idle, _) = self.links.iter().filter(free).min_by_key(|(_, l)| l.moved)?;
            self.links.remove(idle);
        }
        let mut stream = TcpStream::connect(*self.at.get(&candidate)?).ok()?;
        let _ = stream.set_nodelay(true);
        let entry = self.links.vacant_entry();
        let token = Source::Candidate(entry.key()).token();
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).ok()?;
        let key = entry.key();
        entry.insert(Link {
            candidate,
            stream,
            up: false,
            out: Vec::new(),
            written: 0,
            copy: None,
            parser: ReplyParser::default(),
            bytes: Vec::new(),
            moved: now,
        });
        Some(key)
    }

    /// Writes what the socket takes.
    fn write(&mut self, key: usize, now: Nanos) {
        while let Some(link) = self.links.get_mut(key).filter(|l| l.written < l.out.len()) {
            match link.stream.write(&link.out[link.written..]) {
                Ok(n) => {
                    link.written += n;
                    if let Some((_, whole)) = link.copy.as_mut().filter(|_| link.written == link.out.len()) {
                        *whole = Some(now);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.lost(key, Side::Error, now),
            }
        }
    }

    /// A connection can be read from or written to.
    fn ready(&mut self, key: usize, buffer: &mut [u8], now: Nanos) {
        let Some(link) = self.links.get_mut(key) else { return };
        if !link.up {
            match (link.stream.take_error(), link.stream.peer_addr()) {
                (Ok(None), Ok(_)) => link.up = true,
                (Ok(None), Err(e)) if e.kind() == io::ErrorKind::NotConnected => return,
                _ => return self.lost(key, Side::Error, now),
            }
        }
        self.write(key, now);
        while let Some(link) = self.links.get_mut(key) {
            match link.stream.read(buffer) {
                Ok(0) => return self.lost(key, Side::Error, now),
                Ok(n) => self.take(key, &buffer[..n], now),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.lost(key, Side::Error, now),
            }
        }
    }

    /// Something came on a connection.
    fn take(&mut self, key: usize, input: &[u8], now: Nanos) {
        let Some(link) = self.links.get_mut(key) else { return };
        let most = self.longest + FRAME;
        // What nobody asked for, and what is too long to be compared, ends the connection.
        let Some((number, Some(whole))) = link.copy.filter(|_| link.bytes.len() + input.len() <= most) else {
            return self.lost(key, Side::Error, now);
        };
        link.bytes.extend_from_slice(input);
        let Ok((used, reply)) = link.parser.feed(input) else { return self.lost(key, Side::Error, now) };
        let long = link.parser.take_part(reply.as_ref()).is_some();
        let Some(reply) = reply else { return };
        let value = link.bytes.get(reply.value.clone()).unwrap_or_default();
        let side = match reply.kind {
            _ if long || value.len() > self.longest || used < input.len() => Side::Error,
            Kind::Served => Side::Value(Digest::of(value)),
            Kind::Busy => Side::Busy,
            Kind::Failed if link.bytes.first() == Some(&b'*') => Side::Missing,
            Kind::Failed => Side::Error,
        };
        (link.copy, link.moved) = (None, now);
        link.bytes.clear();
        if long || used < input.len() {
            self.links.remove(key);
        }
        self.ended(number, side, reply.hit(), now.saturating_sub(whole), now);
    }

    /// A connection is of no more use; what it carried ended so.
    fn lost(&mut self, key: usize, side: Side, now: Nanos) {
        if let Some((number, _)) = self.links.try_remove(key).and_then(|l| l.copy) {
            self.ended(number, side, None, 0, now);
        }
    }

    fn ended(&mut self, number: u64, side: Side, hit: Option<bool>, took: Nanos, now: Nanos) {
        let off = self.shadow.ended(number, Ended { side, hit, took }, now);
        self.call_off(&off);
    }

    /// A copy's time is up.
    pub fn overdue(&mut self, number: u64, now: Nanos) {
        let carries = |(_, l): &(usize, &Link)| l.copy.is_some_and(|(n, _)| n == number);
        if let Some((key, _)) = self.links.iter().find(carries) {
            self.lost(key, Side::Late, now);
        }
    }

    fn call_off(&mut self, numbers: &[u64]) {
        if !numbers.is_empty() {
            self.links.retain(|_, l| l.copy.is_none_or(|(n, _)| !numbers.contains(&n)));
            self.chosen.retain(|(copy, _)| !numbers.contains(&copy.number));
        }
    }

    // ---- what else it is told ----

    /// Some of the candidates are boxes of the list: they are none until copying is started anew.
    fn listed(&mut self, is_live: impl Fn(SocketAddr) -> bool, now: Nanos) {
        let joined: Vec<u64> = self.at.iter().filter(|(_, at)| is_live(**at)).map(|(id, _)| *id).collect();
        if joined.iter().all(|id| self.live.contains(id)) {
            return;
        }
        self.live.extend(joined);
        self.choose(now);
    }

    fn choose(&mut self, now: Nanos) {
        let ids = self.at.keys().copied().filter(|id| !self.live.contains(id)).collect();
        let off = self.shadow.candidates(ids, now);
        self.call_off(&off);
        let live = &self.live;
        self.links.retain(|_, l| !live.contains(&l.candidate));
    }

    /// The live side is so; closes what has been idle for too long.
    fn sweep(&mut self, mut vitals: Vitals, counted: [u64; 2], now: Nanos) {
        let before = std::mem::replace(&mut self.seen, counted);
        [vitals.served, vitals.refused] = [0, 1].map(|i| (counted[i] - before[i]) as u32);
        let off = self.shadow.look(&vitals, now);
        self.call_off(&off);
        self.links.retain(|_, l| l.copy.is_some() || now.saturating_sub(l.moved) < IDLE);
    }

    // ---- orders ----

    /// Starts copying, or prolongs it.
    ///
    /// # Errors
    /// The lease makes no sense, or the order is not to be carried out any more.
    pub fn start(&mut self, generation: u64, lease_ms: u64, now: Nanos) -> Result<(), Error> {
        if !(1_000..=LONGEST_LEASE_MS).contains(&lease_ms) {
            let message = format!("lease_ms is {lease_ms}; 1000 to {LONGEST_LEASE_MS} is allowed");
            return Err(Error::new(Code::BadRequest, message));
        }
        let newer = generation > self.shadow.kept().generation;
        self.shadow.start(generation, lease_ms * MS, now).map_err(refused)?;
        if newer {
            self.live.clear();
            self.choose(now);
        }
        Ok(())
    }

    /// Stops copying.
    ///
    /// # Errors
    /// The order is not to be carried out any more.
    pub fn stop(&mut self, generation: u64, now: Nanos) -> Result<(), Error> {
        let off = self.shadow.stop(generation, now).map_err(refused)?;
        self.call_off(&off);
        self.links.clear();
        Ok(())
    }

    /// How it stands, and what the copies show.
    pub fn copying(&self, classes: &[String]) -> Copying {
        let name = |class: &u32| classes.get(*class as usize).cloned().unwrap_or_default();
        Copying {
            status: self.shadow.status(),
            report: self.shadow.report(),
            samples: self.shadow.samples().copied().collect(),
            times: self
                .shadow
                .times()
                .iter()
                .map(|(class, t)| (name(class), STANDARD.encode(t.to_bytes())))
                .collect(),
        }
    }
}

fn refused(why: Refused) -> Error {
    match why {
        Refused::Stale(now) => {
            Error::new(Code::Stale, format!("generation {now} of the copying is in force"))
        }
        Refused::Stopped(stop) => Error::new(
            Code::Stale,
            format!("copying under this generation has stopped: {stop:?}; start a later one"),
        ),
    }
}

impl Proxy {
    /// What a request asked that is about to be answered, where copying has to hear of it.
    pub(crate) fn copied(&self, id: RequestId) -> Option<Rc<Query>> {
        self.copies.as_ref().filter(|c| c.shadow.is_on()).and_then(|_| self.requests.asked(id).cloned())
    }

    /// A live box served a request, and its client has the answer.
    pub(crate) fn served(&mut self, query: &Rc<Query>, reply: &Reply, bytes: &[u8], took: Option<Nanos>) {
        let begun = self.turn.clock.now();
        let Some(copies) = &mut self.copies else { return };
        if query.write {
            copies.wrote(query.key);
            return;
        }
        copies.read(query, reply, bytes, took, self.turn.now);
        copies.shadow.worked(self.turn.clock.now().saturating_sub(begun), self.turn.now);
    }

    /// A live box begins to serve a long value. It is passed on as it comes, so that it can't be compared.
    pub(crate) fn serves_long(&mut self, query: &Rc<Query>, length: usize) {
        if let Some(copies) = self.copies.as_mut().filter(|_| !query.write) {
            copies.observe(query, Side::Error, length.max(copies.longest + 1), None, None, self.turn.now);
        }
    }

    /// Works for copies: the last thing in a turn.
    pub(crate) fn copy(&mut self, events: &Events) {
        let Some(copies) = &mut self.copies else { return };
        let woken = || {
            let candidate = |source| if let Source::Candidate(key) = source { Some(key) } else { None };
            events.iter().filter_map(move |e| candidate(Source::of(e)))
        };
        if copies.chosen.is_empty() && woken().next().is_none() {
            return;
        }
        self.turn.tick();
        let begun = self.turn.now;
        for key in woken() {
            copies.ready(key, &mut self.buffer, self.turn.now);
        }
        let (registry, timers) = self.turn.parts();
        copies.send(registry, timers, begun);
        let now = self.turn.clock.now();
        copies.shadow.worked(now.saturating_sub(begun), now);
    }

    /// Boxes have come or gone.
    pub(crate) fn look_for_candidates(&mut self) {
        if let Some(copies) = &mut self.copies {
            copies.listed(|at| self.boxes.has_address(|dial| is(dial, at)), self.turn.now);
        }
    }

    /// Looks at the live side on behalf of copying; the loop was so late for it.
    pub(crate) fn sweep_copies(&mut self, late: Nanos) {
        let Some(copies) = &mut self.copies else { return };
        let counters = self.observers.counters;
        let room = self.config.max_open_requests;
        let vitals = Vitals { loop_delay: late, open: self.requests.len(), room, ..Vitals::default() };
        copies.sweep(vitals, [counters.served, counters.refused], self.turn.now);
        self.keep_copies();
    }

    /// Keeps what has to outlive the process, where that has changed.
    pub(crate) fn keep_copies(&mut self) {
        let Some(copies) = &self.copies else { return };
        let kept = copies.shadow.kept();
        if kept != self.kept.state.shadow {
            let state = State { shadow: kept, ..self.kept.state.clone() };
            if let Err(e) = self.kept.store(state) {
                eprintln!("shadow: {e}");
                // What stands in memory is what counts; the file is tried again with the next change.
                self.kept.state.shadow = kept;
            }
            self.changes += 1;
        }
    }
}
