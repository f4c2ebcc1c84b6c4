//! Every decision of calicosaddle. The interface (types, settings, events, actions) is `src/api.rs`.
//!
//! The ordinary path is Go-With-The-Winner: a key's bucket has SIGMA hashed candidates, each with a window of
//! its last TAU outcomes; the first candidate with TAU hits in a row wins the bucket and keeps it.

use crate::api::*;
use rustc_hash::{FxHashMap, FxHashSet};

/// Candidates of a bucket.
const SIGMA: usize = 2;
/// Straight hits that pin a bucket.
const TAU: u32 = 3;
/// Key buckets; a bucket's state exists only once it was used.
const BUCKETS: u64 = 1 << 13;
/// Servers ranked for each bucket: candidates first, then stand-ins.
const RANKED: usize = 16;
const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000_000_000;
/// Memory of traffic counts, in seconds.
const MEMORY_S: f64 = 64.0;
/// Memory of what was served, in seconds. Below these parts served in time less is taken, for buckets that
/// have not hit lately and for those that have; from 0.15 more on it opens again.
const SHED_S: f64 = 2.0;
const SHED_BELOW: [f64; 2] = [0.78, 0.55];
/// Connections that a server accepts, as far as this module plans for; how few it is to hold where the proxies
/// are many; and how much less likely a server of another zone is to be in a proxy's subset.
/// Guards against fleets in which every proxy comes to every server: where they don't fit into the servers'
/// tables, most requests begin with a refusal or a handshake, and a full table takes a part of the server's
/// capacity. So a proxy sends to a subset. Over all proxies a server has TABLE^2 / proxies connections on the
/// mean, FEW at the least, and the rest of its table is for those whose own servers are gone. Danger: each
/// part of the proxies that have a key's candidates in another order fetches it once more.
const TABLE: f64 = 32.0;
const FEW: f64 = 10.0;
const FAR: f64 = 6.0;
/// A subset has no fewer than these: candidates, and others where they fail.
const LEAST_SUBSET: usize = 4;
/// Silences in a row after which a whole other zone is left alone for about a second.
const ZONE_SILENT: u32 = 5;
/// Broken connections and unreadable answers in a row after which a server is left alone.
const BROKEN: u32 = 6;
/// More errors than this part of the outcomes mean that the origin fails.
const ERRORS: f64 = 0.05;
/// More connections refused than this part of the outcomes mean that servers have no more to give.
const REFUSED: f64 = 0.005;
const STEP: Nanos = 250 * MS;
/// A bucket's part of one server's even share that it may bring before it is spread.
const HOT: f64 = 0.6;
/// What a server takes at once from this proxy: at first and at the most; what each answer adds, and what is
/// left after one turned away.
/// Guards against filling places that a slow server, or one that other proxies use too, does not have: each
/// attempt turned away costs a round trip and is a miss elsewhere all the same. It should catch any loss of
/// capacity that nobody reports. Danger: a server that turns away for another reason keeps fewer of its keys.
const LIMIT: f64 = 4.0;
const MOST: f64 = 16.0;
const MORE: f64 = 0.03;
const LESS: f64 = 0.85;
/// The part of its buckets that a server keeps: at the least; how fast it moves with each answer; how much more
/// strained than the fleet a server may be before it gives up buckets, and the strain below which none counts.
/// Guards against servers that get more than they can do in time, since shares in the list tell nothing of
/// speed: their queues make their answers late long before they turn any away. It should catch any lasting
/// difference between what a server is given and what it can do: small machines, a neighbour that takes the
/// core, hot buckets, a fleet that shrank. Danger: each bucket that moves is fetched anew; moved fast, or for
/// differences that are chance, the fetches jam the origin.
const LEAST_SHARE: f64 = 0.1;
const SHARE_GAIN: f64 = 0.015;
const STRAINED: f64 = 1.3;
const CALM: f64 = 0.1;
/// A server whose hits take more than this part of the time to the aim is too slow for a request.
const QUICK: f64 = 0.8;
/// With so great a part of the attempts turned away, clients are told to stay away for as long as may be.
const JAMMED: f64 = 0.2;
/// Retries and hedges earned by each request.
const BUDGET: f64 = 0.1;
/// Timer tokens: the low bits are a request id.
const HEDGE: u64 = 1 << 56;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash as a number above 0 and at most 1.
fn unit(x: u64) -> f64 {
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// A server's place by a salt, the lower the earlier: whatever the others are, and divided by its weight fairly.
fn drawn(salt: u64, server: ServerId) -> f64 {
    -unit(mix(salt ^ server)).ln()
}

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    /// An operator wants nothing new to go to it.
    withdrawn: bool,
    /// It is in the subset.
    own: bool,
    inverse_weight: f64,
    inflight: f64,
    fails: u32,
    /// Answers in a row that could not be read or broke off.
    broken: u32,
    suspect_until: Nanos,
    backoff: Nanos,
    /// A request was sent to it while suspect, and has not ended.
    trial: bool,
    tokens: f64,
    tokens_at: Nanos,
    /// Attempts of this proxy that it takes at once without turning one away or answering late.
    limit: f64,
    /// Mean square of its answers' times, as parts of their aims, lately; and the part of its buckets it keeps.
    strain: f64,
    share: f64,
    /// Mean time of its hits, lately; 0 while unknown.
    pace: f64,
}

#[derive(Clone, Copy, Default)]
struct Window {
    server: ServerId,
    outcomes: u32,
    seen: u32,
}

#[derive(Default)]
struct Bucket {
    version: u64,
    ranked: Vec<u32>,
    windows: [Window; SIGMA],
    pin: Option<ServerId>,
    count: f64,
    counted_at: Nanos,
    turn: u32,
}

struct Attempt {
    server: ServerId,
    zone: u32,
    cell: u32,
    sent: Nanos,
    pending: bool,
    silent: bool,
    broke: bool,
    may_have_run: bool,
}

struct Open {
    class: usize,
    bucket: Option<u32>,
    write: bool,
    /// Its work against the usual of its class, where more; 1 where unknown.
    scale: f64,
    aim_at: Nanos,
    deadline: Nanos,
    streaming: bool,
    judged: bool,
    /// Its bucket hit lately.
    proven: bool,
    arrived: Nanos,
    attempts: Vec<Attempt>,
}

/// What is known of a class's answers.
#[derive(Clone, Default)]
struct Seen {
    mean: f64,
    spread: f64,
    count: f64,
    /// The time left that most tries have, and how surely.
    common_left: Nanos,
    votes: u32,
    /// Mean of the work told.
    hint: f64,
}

/// How much is taken of one kind of requests: those of buckets that hit lately, and all others.
#[derive(Clone, Copy, Default)]
struct Valve {
    /// Fading sums of those that were sent: ended, served in time (by worth).
    ended: f64,
    timely: f64,
    /// The part that is taken, where taking more failed last, and when it was cut.
    taken: f64,
    ceiling: f64,
    cut_at: Nanos,
}

/// The decision module of one proxy.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    random: u64,
    // discovery
    by_id: FxHashMap<ServerId, u32>,
    withdrawn: FxHashSet<ServerId>,
    servers: Vec<Server>,
    free: Vec<u32>,
    version: u64,
    /// Those that this proxy keeps connections with, and their weight; the weight of all.
    subset: Vec<u32>,
    subset_weight: f64,
    total_weight: f64,
    live: f64,
    // traffic
    buckets: FxHashMap<u32, Bucket>,
    open: FxHashMap<RequestId, Open>,
    seen: Vec<Seen>,
    count: f64,
    counted_at: Nanos,
    started: Option<Nanos>,
    /// Other zones: silences in a row over all their servers, and until when they are left alone.
    zones: FxHashMap<u32, (u32, Nanos)>,
    inflight: f64,
    budget: f64,
    /// Fading sum of the requests served.
    served: f64,
    /// Parts of the outcomes, lately: errors, turned away as full, refused connections.
    errors: f64,
    full: f64,
    refused: f64,
    /// Mean strain of the servers, by their answers.
    strain: f64,
    steered_at: Nanos,
    valves: [Valve; 2],
}

impl Balancer {
    /// A module with nothing learned; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let seen = vec![Seen::default(); settings.classes.len()];
        let valve = Valve { taken: 1.0, ceiling: 1.0, ..Valve::default() };
        let start = Balancer { valves: [valve; 2], budget: 1.0, ..Balancer::default() };
        Balancer { settings, seen, random: seed, ..start }
    }

    /// Takes one event and appends the actions it calls for.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        match event {
            Event::ServerList { kind, entries } => self.list(now, kind, entries),
            Event::OperatorDrained(servers) => self.withdraw(servers),
            Event::Settings(settings) => {
                self.settings = *settings;
                self.recount();
            }
            Event::Arrival(request) => self.arrival(now, request, actions),
            Event::Outcome(o) => self.outcome(now, &o, actions),
            Event::Probed { server, status: Status::Ok, .. } => self.clear(server),
            Event::Timer(token) if token >> 56 == HEDGE >> 56 => {
                self.hedge(now, token & (HEDGE - 1), actions)
            }
            Event::Probed { .. } | Event::Timer(_) => {}
            // A client that left while its answer could still be in time says nothing of the servers.
            // Danger: where many leave early, or all at once, that would pass for a jam.
            Event::Abandoned(id) => {
                let left = self.open.remove(&id).filter(|o| o.aim_at.min(o.deadline) <= now);
                left.iter().for_each(|o| self.ended(o, 0.0));
            }
            Event::StreamStarted(id) => self.open.get_mut(&id).into_iter().for_each(|o| o.streaming = true),
        }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(mix(self.random))
    }

    // ---- discovery ----

    fn list(&mut self, now: Nanos, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            let named: FxHashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            let mut gone: Vec<ServerId> = self.by_id.keys().filter(|s| !named.contains(s)).copied().collect();
            gone.sort_unstable();
            gone.into_iter().for_each(|s| self.remove(s));
        }
        for entry in entries {
            if entry.state == ServerState::Removed {
                self.remove(entry.server);
            } else {
                self.upsert(now, entry);
            }
        }
        self.recount();
    }

    /// Draws the subset anew: by a hash of this proxy's number and the server, so that it hardly changes with the
    /// list, and is the same after a restart.
    fn recount(&mut self) {
        self.version += 1;
        let ranking = (0u32..).zip(&self.servers).filter(|(_, s)| self.ranks(s));
        let mut subset: Vec<u32> = ranking.map(|(i, _)| i).collect();
        let weight =
            |all: &[u32]| -> f64 { all.iter().map(|i| 1.0 / self.servers[*i as usize].inverse_weight).sum() };
        (self.total_weight, self.live) = (weight(&subset), subset.len() as f64);
        let proxies = f64::from(self.settings.proxy_count.max(1));
        let part = (TABLE * TABLE / proxies).max(FEW) / proxies;
        let wanted = ((part * self.live).ceil() as usize).max(LEAST_SUBSET);
        if wanted < subset.len() {
            let salt = mix(u64::from(self.settings.proxy_index) ^ 0x0a0e_0a0e);
            let place = |i: u32| {
                let e = &self.servers[i as usize].entry;
                drawn(salt, e.server) * if e.zone == self.settings.zone { 1.0 } else { FAR }
            };
            let mut places: Vec<(f64, u32)> = subset.iter().map(|&i| (place(i), i)).collect();
            places.select_nth_unstable_by(wanted, |a, b| a.0.total_cmp(&b.0));
            subset = places[..wanted].iter().map(|x| x.1).collect();
        }
        self.subset_weight = weight(&subset);
        self.subset = subset;
        self.servers.iter_mut().for_each(|s| s.own = false);
        self.subset.iter().for_each(|&i| self.servers[i as usize].own = true);
    }

    /// A server takes work only where the list and the operators both say so.
    fn withdraw(&mut self, servers: Vec<ServerId>) {
        self.withdrawn = servers.into_iter().collect();
        let withdrawn = &self.withdrawn;
        self.servers.iter_mut().for_each(|s| s.withdrawn = withdrawn.contains(&s.entry.server));
        self.recount();
    }

    fn takes(s: &Server) -> bool {
        s.entry.state == ServerState::Ready && !s.withdrawn
    }

    fn ranks(&self, s: &Server) -> bool {
        Self::takes(s) && !self.is_origin(s)
    }

    /// The origin of an aside deployment is never a candidate: only misses and writes go there.
    fn is_origin(&self, s: &Server) -> bool {
        self.settings.cache_aside && Some(s.entry.kind) == self.settings.origin_kind
    }

    fn remove(&mut self, server: ServerId) {
        if let Some(i) = self.by_id.remove(&server) {
            self.inflight -= self.servers[i as usize].inflight;
            self.servers[i as usize].inflight = 0.0;
            self.servers[i as usize].entry.state = ServerState::Removed;
            self.free.push(i);
        }
    }

    fn upsert(&mut self, now: Nanos, entry: ServerEntry) {
        let weight = if entry.weight.is_finite() { entry.weight.clamp(1e-6, 1e9) } else { 1.0 };
        let inverse_weight = 1.0 / weight;
        if let Some(&i) = self.by_id.get(&entry.server) {
            let s = &mut self.servers[i as usize];
            if s.entry.started_at != entry.started_at {
                // A changed start means a new process: no cache, no history of failures.
                (s.fails, s.suspect_until, s.backoff, s.trial) = (0, 0, 0, false);
                (s.tokens, s.tokens_at) = (unit(mix(self.random ^ entry.started_at)), now);
                (s.strain, s.share, s.pace) = (self.strain, 1.0, 0.0);
            }
            (s.inverse_weight, s.entry) = (inverse_weight, entry);
            return;
        }
        let server = entry.server;
        let tokens = self.chance();
        let learned = Server { limit: LIMIT, strain: self.strain, share: 1.0, ..Server::default() };
        let withdrawn = self.withdrawn.contains(&server);
        let fresh = Server { entry, withdrawn, inverse_weight, tokens, tokens_at: now, ..learned };
        let i = if let Some(i) = self.free.pop() {
            self.servers[i as usize] = fresh;
            i
        } else {
            self.servers.push(fresh);
            (self.servers.len() - 1) as u32
        };
        self.by_id.insert(server, i);
    }

    // ---- candidates ----

    /// Ranks the subset for a bucket by weighted rendezvous: in the same order at every proxy, whatever lists it saw.
    fn rank(&mut self, b: u32) {
        let mut bucket = self.buckets.remove(&b).unwrap_or_default();
        if bucket.version != self.version || bucket.ranked.is_empty() {
            let salt = mix(u64::from(b) ^ 0x5ca1_ab1e);
            let mut best: Vec<(f64, u32)> = Vec::with_capacity(RANKED + 1);
            for &i in &self.subset {
                let s = &self.servers[i as usize];
                let score = drawn(salt, s.entry.server) * s.inverse_weight;
                if best.len() < RANKED || score < best[RANKED - 1].0 {
                    let at = best.partition_point(|x| x.0 <= score);
                    best.insert(at, (score, i));
                    best.truncate(RANKED);
                }
            }
            bucket.ranked = best.into_iter().map(|x| x.1).collect();
            bucket.version = self.version;
        }
        self.buckets.insert(b, bucket);
    }

    // ---- windows and pins ----

    /// The candidates of a bucket now: the first SIGMA ranked servers that are admitted to it.
    fn candidates(&mut self, now: Nanos, b: u32) -> Vec<u32> {
        let Some(bucket) = self.buckets.get(&b) else { return Vec::new() };
        let admitted = |i: &&u32| self.admitted(now, b, &self.servers[**i as usize]);
        let found: Vec<u32> = bucket.ranked.iter().filter(admitted).take(SIGMA).copied().collect();
        let ids: Vec<ServerId> = found.iter().map(|&i| self.servers[i as usize].entry.server).collect();
        let Some(bucket) = self.buckets.get_mut(&b) else { return found };
        if bucket.windows.iter().map(|w| w.server).ne(ids.iter().copied()) {
            let old = bucket.windows;
            bucket.windows = [Window::default(); SIGMA];
            for (w, id) in bucket.windows.iter_mut().zip(&ids) {
                let kept = old.iter().find(|o| o.server == *id).copied();
                *w = kept.unwrap_or(Window { server: *id, ..Window::default() });
            }
            // Reopen when the winner left the candidates, or a newcomer stands before it: other proxies try
            // the newcomer too, and a pin kept here alone would hold a second copy.
            let place = bucket.pin.and_then(|p| ids.iter().position(|id| *id == p));
            let newcomer = ids.iter().take(place.unwrap_or(0)).any(|id| !old.iter().any(|o| o.server == *id));
            if place.is_none() || newcomer {
                bucket.pin = None;
            }
        }
        found
    }

    /// The order in which a bucket's candidates are asked: the winner, or while undecided the best window,
    /// the hash order breaking ties so that proxies tend to the same winner.
    fn turn(&self, b: u32, candidates: &mut [u32]) {
        let Some(bucket) = self.buckets.get(&b) else { return };
        let merit = |i: u32| {
            let id = self.servers[i as usize].entry.server;
            if bucket.pin == Some(id) {
                return -1.0;
            }
            let (place, w) = match bucket.windows.iter().enumerate().find(|(_, w)| w.server == id) {
                Some((p, w)) => (p as f64, *w),
                None => (SIGMA as f64, Window::default()),
            };
            let hits = f64::from(w.outcomes.count_ones());
            1.0 - (hits + 1.0) / (f64::from(w.seen) + 2.0) + 0.28 * place
        };
        candidates.sort_by(|a, b| merit(*a).total_cmp(&merit(*b)));
    }

    fn learn(&mut self, b: u32, server: ServerId, hit: bool) {
        let Some(bucket) = self.buckets.get_mut(&b) else { return };
        let Some(w) = bucket.windows.iter_mut().find(|w| w.server == server && server != 0) else { return };
        w.outcomes = (w.outcomes << 1 | u32::from(hit)) & ((1 << TAU) - 1);
        w.seen = (w.seen + 1).min(TAU);
        if bucket.pin.is_none() && w.outcomes == (1 << TAU) - 1 {
            bucket.pin = Some(server);
        }
    }

    // ---- health ----

    fn usable(&self, now: Nanos, s: &Server) -> bool {
        let cut = self.zones.get(&s.entry.zone).is_some_and(|z| z.1 > now);
        self.ranks(s) && s.suspect_until <= now && !cut
    }

    /// How many listed servers get nothing new now.
    pub fn unavailable_servers(&self, now: Nanos) -> usize {
        let listed = |s: &&Server| s.entry.state != ServerState::Removed && !self.is_origin(s);
        self.servers.iter().filter(listed).filter(|s| !self.usable(now, s)).count()
    }

    fn failed(&mut self, now: Nanos, server: ServerId, weight: u32) {
        let jitter = 0.75 + 0.5 * self.chance();
        // It sends to its subset alone; the whole counts for how often all proxies together try a server again.
        let rate = self.rate(now).max(0.01);
        let pause = self.subset.len() as f64 / rate;
        let shortest = ((self.live / rate).clamp(2.0, 25.0) * SECOND as f64) as Nanos;
        let Some(&i) = self.by_id.get(&server) else { return };
        let s = &mut self.servers[i as usize];
        s.fails += weight;
        if s.entry.zone != self.settings.zone {
            // Danger: at a cut zone each server would have to be found silent by itself, request by request.
            let zone = self.zones.entry(s.entry.zone).or_default();
            zone.0 += 1;
            if zone.0 >= ZONE_SILENT && zone.1 <= now {
                zone.1 = now + (SECOND as f64 * jitter) as Nanos;
                zone.0 = ZONE_SILENT - 2;
            }
        }
        // A proxy that sends a server less than one request a second cannot wait for a second silence.
        let trial = std::mem::take(&mut s.trial);
        if s.fails > u32::from(pause < 1.0) && (trial || s.suspect_until <= now) {
            // A silent server gets one request each time its suspicion lapses; the next failure doubles it.
            // It must outlast this proxy's own pause between two sends there, or it would change nothing.
            s.backoff = (s.backoff * 2).clamp(shortest, 4 * shortest);
            s.suspect_until = now + (s.backoff as f64 * jitter) as Nanos;
        }
    }

    /// An answer that can't be read, or a connection that broke, says little of its server: it works, and most
    /// likely holds the key now. One that died refuses the next connection.
    /// Guards against leaving servers for harm that comes to any of them by chance. Danger: with one in ten
    /// broken, two in a row come every few seconds at each server; left for that, most of the fleet is always
    /// alone, and its keys are fetched elsewhere. One that breaks all is left like one that is silent.
    fn broke(&mut self, now: Nanos, server: ServerId) {
        let Some(&i) = self.by_id.get(&server) else { return };
        let s = &mut self.servers[i as usize];
        s.broken += 1;
        if s.broken >= BROKEN {
            s.broken = 0;
            self.failed(now, server, 2);
        }
    }

    fn clear(&mut self, server: ServerId) {
        if let Some(&i) = self.by_id.get(&server) {
            let s = &mut self.servers[i as usize];
            s.broken = 0;
            (s.fails, s.suspect_until, s.backoff, s.trial) = (0, 0, 0, false);
            self.zones.remove(&s.entry.zone);
        }
    }

    // ---- cold ramp ----

    /// The part of its capacity that a server surely has by now.
    fn warmth(&self, now: Nanos, s: &Server) -> f64 {
        if s.entry.started_at == 0 || self.settings.slow_start_duration == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(s.entry.started_at) as f64 / self.settings.slow_start_duration as f64;
        let from = self.settings.slow_start_initial_fraction.clamp(0.0, 1.0);
        (from + (1.0 - from) * age).min(1.0)
    }

    /// A cold server enters a bucket once it is warmer than a hash of both says, and one that is strained leaves
    /// it by the same hash: all proxies admit it to the same part of its buckets, or nearly so.
    fn admitted(&self, now: Nanos, b: u32, s: &Server) -> bool {
        let part = self.warmth(now, s).min(s.share);
        part >= 1.0 || unit(mix(s.entry.server ^ mix(u64::from(b) ^ 0xc01d))) < part
    }

    /// Takes note of how strained a server is, by the square of an answer's time as a part of its aim: one that
    /// is late weighs more than two that are quick. Moves the part of its buckets that it keeps.
    fn strained(&mut self, i: u32, strain: f64) {
        self.strain += 0.005 * (strain - self.strain);
        let s = &mut self.servers[i as usize];
        s.strain += 0.05 * (strain - s.strain);
        let over = s.strain / self.strain.max(CALM) - STRAINED;
        s.share = (s.share * (1.0 - SHARE_GAIN * over.clamp(-1.0, 1.0))).clamp(LEAST_SHARE, 1.0);
    }

    /// Takes a send to a cold server from this proxy's part of what it can bear. Danger: a burst of hot keys
    /// soon after a start pushes it over for good.
    fn cold_allows(&mut self, now: Nanos, i: u32, take: bool) -> bool {
        let s = &self.servers[i as usize];
        let warmth = self.warmth(now, s);
        if warmth >= 1.0 {
            return true;
        }
        // Over all proxies that have it in their subset these parts sum up to its even share of all traffic; nobody
        // else knows what they send.
        if !s.own {
            return false;
        }
        let part = 1.0 / s.inverse_weight / self.subset_weight.max(1e-9);
        let mine = self.rate(now).min(self.served / SHED_S + 1.0);
        let rate = 0.4 * self.settings.overload_multiple * warmth * part * mine;
        let window = self.settings.overload_duration as f64 / SECOND as f64;
        let s = &mut self.servers[i as usize];
        let passed = now.saturating_sub(s.tokens_at) as f64 / SECOND as f64;
        s.tokens = (s.tokens + passed * rate).min((rate * window).max(1.0));
        s.tokens_at = now;
        let allowed = s.tokens >= 1.0;
        if allowed && take {
            s.tokens -= 1.0;
        }
        allowed
    }

    /// This proxy's requests a second, lately.
    fn rate(&self, now: Nanos) -> f64 {
        let up = now.saturating_sub(self.started.unwrap_or(now)) as f64 / SECOND as f64;
        self.count / (MEMORY_S * (1.0 - (-up.max(0.5) / MEMORY_S).exp()))
    }

    // ---- choice ----

    /// Counts a request of a bucket; returns how many servers it is worth.
    fn counted(&mut self, now: Nanos, b: u32) -> usize {
        let fade = |at: Nanos| (-(now.saturating_sub(at) as f64) / (MEMORY_S * SECOND as f64)).exp();
        let Some(bucket) = self.buckets.get_mut(&b) else { return 1 };
        bucket.count = bucket.count * fade(bucket.counted_at) + 1.0;
        bucket.counted_at = now;
        bucket.turn = bucket.turn.wrapping_add(1);
        // Few requests say little of a bucket's part in the whole: count it a deviation lower.
        // Danger: hundreds of proxies that have seen nothing yet would all begin a top key at one server; the
        // first keys a proxy sees are likely to be popular ones.
        let sure = bucket.count - bucket.count.sqrt();
        ((sure / self.count.max(1.0) * self.live / HOT).ceil() as usize).clamp(1, RANKED)
    }

    /// The server for the next attempt of a request.
    fn choose(&mut self, now: Nanos, open: &Open, spread: usize) -> Option<u32> {
        let b = open.bucket.unwrap_or_else(|| (mix(now ^ self.random) % BUCKETS) as u32);
        self.rank(b);
        let mut order = self.candidates(now, b);
        self.turn(b, &mut order);
        let bucket = self.buckets.get(&b)?;
        let turn = bucket.turn.wrapping_add(self.settings.proxy_index) as usize;
        for &i in &bucket.ranked {
            if !order.contains(&i) && self.admitted(now, b, &self.servers[i as usize]) {
                order.push(i);
            }
        }
        if spread > 1 {
            // A hot bucket is shared by its first servers: one alone would drown.
            // Danger: where all that is ranked is cold, none of it may be admitted.
            let k = spread.min(order.len());
            order[..k].rotate_left(turn.checked_rem(k).unwrap_or(0));
        }
        let fits = |i: &u32| {
            let s = &self.servers[*i as usize];
            // Where a connection broke, the server most likely still holds the key: once more is better than a
            // miss elsewhere. Danger: each such miss is a fetch, and breaks all over the fleet jam the origin.
            let mut tried = open.attempts.iter().filter(|a| a.server == s.entry.server);
            self.usable(now, s)
                && self.in_group(now, open, s)
                && tried.next().is_none_or(|a| a.broke && tried.next().is_none())
        };
        let mut order: Vec<u32> = order.into_iter().filter(fits).collect();
        if order.is_empty() {
            // No ranked server will do: any that may be used, nearest first, in the bucket's own order.
            order = (0..self.servers.len() as u32).filter(fits).collect();
            order.sort_by_key(|i| {
                let e = &self.servers[*i as usize].entry;
                (e.zone != self.settings.zone, mix(e.server ^ mix(u64::from(b))))
            });
        }
        let mean = self.inflight / self.total_weight.max(1e-9);
        let cold: Vec<u32> = order.iter().copied().filter(|&i| self.cold_allows(now, i, false)).collect();
        let roomy = |s: &Server| s.inflight < s.limit.min(2.0 + 2.0 * mean / s.inverse_weight);
        let left = open.aim_at.saturating_sub(now) as f64;
        let quick = |s: &Server| open.scale * s.pace < QUICK * left;
        let first = &cold[..cold.len().min(SIGMA.max(spread))];
        let find = |fits: &dyn Fn(&Server) -> bool| first.iter().find(|i| fits(&self.servers[**i as usize]));
        let chosen = find(&|s| roomy(s) && quick(s)).or_else(|| find(&roomy)).or(cold.first());
        let chosen = *chosen?;
        self.cold_allows(now, chosen, true);
        Some(chosen)
    }

    /// May a further attempt go to this server, after attempts that may have run?
    fn in_group(&self, now: Nanos, open: &Open, s: &Server) -> bool {
        let Some(class) = self.settings.classes.get(open.class) else { return true };
        let mut ran = open.attempts.iter().filter(|a| a.pending || a.may_have_run);
        match class.retry_safety {
            RetrySafety::Safe => true,
            RetrySafety::Unsafe => ran.next().is_none(),
            RetrySafety::Keyed => ran.all(|a| {
                // The margin covers the way to the server.
                let fresh = now + 100 * MS < a.sent + class.dedup_window;
                fresh
                    && match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == s.entry.zone,
                        DedupScope::Cell => a.cell == s.entry.cell && a.zone == s.entry.zone,
                    }
            }),
        }
    }

    /// Is an idle connection not worth keeping until this proxy needs it again? Danger: every proxy comes
    /// to every server; with many proxies the servers run out of connections, and refuse those who have none.
    fn rarely_used(&self, now: Nanos, i: u32) -> bool {
        let s = &self.servers[i as usize];
        let rate = self.rate(now).max(1e-3);
        let pause = self.subset_weight * s.inverse_weight / rate;
        let (idle, new) = (self.settings.connection_price, self.settings.handshake_price);
        let all = rate * f64::from(self.settings.proxy_count.max(1));
        let dear = idle > 0.0 && pause * idle / (100.0 * self.live.max(1.0)) > new / all;
        // A subset is small enough to keep. Danger: closed for what one lost zone refuses, its connections would
        // all be opened anew, by all proxies.
        let whole = self.subset.len() as f64 >= self.live;
        !self.is_origin(s) && (dear || (whole && self.refused > REFUSED && pause > 0.3))
    }

    // ---- attempts and deadlines ----

    fn send(&mut self, now: Nanos, id: RequestId, i: u32, actions: &mut Vec<Action>) {
        let at_origin = self.is_origin(&self.servers[i as usize]);
        let s = &mut self.servers[i as usize];
        s.inflight += 1.0;
        self.inflight += 1.0;
        if s.fails >= 1 && s.backoff > 0 {
            // A trial: no second one before its answer is due.
            s.suspect_until = now + s.backoff.max(SECOND);
            s.trial = true;
        }
        let (server, zone, cell) = (s.entry.server, s.entry.zone, s.entry.cell);
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent: now,
            pending: true,
            silent: false,
            broke: false,
            may_have_run: false,
        });
        let tries = open.attempts.len() as u32;
        let more = tries < self.settings.max_attempts;
        let seen = self.seen.get(open.class).cloned().unwrap_or_default();
        let class = self.settings.classes.get(open.class);
        let safe = class.is_some_and(|c| c.retry_safety != RetrySafety::Unsafe && !c.stream) && !at_origin;
        let left = open.aim_at.min(open.deadline).saturating_sub(now) as f64;
        let patience = if seen.count < 5.0 {
            left * 0.5
        } else {
            (open.scale * (seen.mean + 3.5 * seen.spread)).max(0.2 * left)
        };
        let mut timeout = 0;
        if safe && more && patience + seen.mean < left {
            if self.settings.hedging {
                actions.push(Action::Timer { token: HEDGE | id, delay: patience as Nanos });
            } else {
                timeout = patience as Nanos;
            }
        }
        actions.push(Action::Send { id, server, timeout });
    }

    fn arrival(&mut self, now: Nanos, r: Request, actions: &mut Vec<Action>) {
        let passed = now.saturating_sub(self.counted_at) as f64 / SECOND as f64;
        self.count = self.count * (-passed / MEMORY_S).exp() + 1.0;
        self.counted_at = now;
        self.budget = (self.budget + BUDGET).min(10.0);
        let class = self.settings.classes.get(r.class as usize).cloned().unwrap_or_default();
        // Most tries are first ones and given alike long; any other time left dates the request's beginning.
        let mut aim = class.latency_target.min(r.remaining);
        let mut scale = 1.0;
        if let Some(seen) = self.seen.get_mut(r.class as usize) {
            if let Some(hint) = r.expected_work.filter(|h| *h > 0) {
                let first = if seen.hint > 0.0 { 0.03 } else { 1.0 };
                seen.hint += first * (hint as f64 - seen.hint);
                scale = (hint as f64 / seen.hint).clamp(1.0, 10.0);
            }
            let alike = seen.common_left.abs_diff(r.remaining) < class.deadline / 40;
            if alike {
                seen.votes = (seen.votes + 1).min(50);
            } else if seen.votes == 0 {
                seen.common_left = r.remaining;
            } else {
                seen.votes -= 1;
                aim =
                    aim.min(class.latency_target.saturating_sub(class.deadline.saturating_sub(r.remaining)));
            }
        }
        // Guards against shedding for clients' sake: one that gives a try less time than its class's aim runs out
        // of it at healthy servers too. It should also catch retries that come late. Danger: where no try has
        // that time, nothing is ever shed.
        let telling = r.remaining >= class.latency_target / 4 * 3;
        let hopeless = class.late_value <= 0.0 && (aim as f64) < 0.5 * self.usual(r.class as usize).mean;
        let bucket = r.key.map(|k| (mix(k) % BUCKETS) as u32);
        // Danger: where misses jam the origin, hits go on and would hide it, or be refused with the misses:
        // buckets that hit lately have a valve of their own.
        let hits = |b: &Bucket| b.pin.is_some() || b.windows.iter().any(|w| w.outcomes & 1 == 1);
        let proven = bucket.and_then(|b| self.buckets.get(&b)).is_some_and(hits);
        // Where the proxy itself asks the origin, a request counts as a hit until it has missed.
        let proven = if self.settings.cache_aside { !r.write } else { proven };
        let open = Open {
            class: r.class as usize,
            bucket,
            write: r.write,
            scale,
            aim_at: now + aim,
            deadline: now + r.remaining,
            streaming: false,
            judged: telling && !hopeless,
            proven,
            arrived: now,
            attempts: Vec::new(),
        };
        let share = self.shed(now, open.class, open.proven);
        if share > 0.0 && (self.chance() < share || hopeless) {
            self.open.insert(r.id, open);
            self.give_up(r.id, actions);
            return;
        }
        let mut spread = 1;
        if let Some(b) = bucket {
            self.rank(b);
            spread = self.counted(now, b);
        }
        let target = if self.settings.cache_aside && r.write {
            self.origin(now, &open)
        } else {
            self.choose(now, &open, spread)
        };
        self.open.insert(r.id, open);
        match target {
            Some(i) if r.remaining > 0 => self.send(now, r.id, i, actions),
            _ => self.give_up(r.id, actions),
        }
    }

    fn origin(&self, now: Nanos, open: &Open) -> Option<u32> {
        let fits = |s: &Server| Self::takes(s) && self.is_origin(s) && self.in_group(now, open, s);
        let all = (0u32..).zip(&self.servers).filter(|(_, s)| fits(s));
        all.min_by(|a, b| a.1.inflight.total_cmp(&b.1.inflight)).map(|(i, _)| i)
    }

    fn outcome(&mut self, now: Nanos, o: &Outcome, actions: &mut Vec<Action>) {
        let Outcome { id, server, status, elapsed, hit, .. } = *o;
        if let Some(&i) = self.by_id.get(&server) {
            let s = &mut self.servers[i as usize];
            match status {
                Status::Rejected => s.limit = (LESS * s.limit.min(s.inflight)).max(1.0),
                Status::Ok => s.limit = (s.limit + MORE).min(MOST),
                // What was not sent took nothing of what a cold server can bear.
                Status::NotSent => s.tokens += 1.0,
                _ => {}
            }
            let held = s.inflight.min(1.0);
            s.inflight -= held;
            self.inflight -= held;
            if s.inflight < 1.0 && self.rarely_used(now, i) {
                actions.push(Action::CloseIdle(server));
            }
        }
        // The origin is slow for all alike: its times are no measure for a cache, nor its silence for a zone.
        let cache = self.by_id.get(&server).is_none_or(|&i| !self.is_origin(&self.servers[i as usize]));
        let class = self.open.get(&id).map(|o| o.class);
        // Danger: a heavy request that takes its time would pass for a silent server.
        let elapsed = (elapsed as f64 / self.open.get(&id).map_or(1.0, |o| o.scale)) as Nanos;
        let usual = class.map(|c| self.usual(c)).unwrap_or_default();
        let aim = class.and_then(|c| self.settings.classes.get(c)).map_or(0, |c| c.latency_target);
        if let (Some(&i), true, true) = (self.by_id.get(&server), cache, aim > 0) {
            // What a miss takes is the origin's doing.
            let part = (elapsed as f64 / aim as f64).min(1.5);
            match status {
                Status::Ok if hit != Some(false) => {
                    self.strained(i, part * part);
                    let s = &mut self.servers[i as usize];
                    let gain = if s.pace > 0.0 { 0.1 } else { 1.0 };
                    s.pace += gain * (elapsed as f64 - s.pace);
                }
                Status::Rejected => self.strained(i, 1.0),
                _ => {}
            }
        }
        let jammed = usual.count > 5.0
            && elapsed as f64 > (usual.mean + 3.5 * usual.spread).max(0.5 * aim as f64)
            && hit != Some(false);
        match status {
            _ if !cache => {}
            // An answer that came far too late clears nobody: work is jammed there.
            Status::Ok if jammed => self.failed(now, server, 1),
            // A silent server turns away what it has no room for: that clears nobody.
            Status::Rejected => {}
            Status::Ok | Status::Error | Status::Miss => self.clear(server),
            Status::ConnectFailed => self.failed(now, server, 2),
            Status::Reset | Status::Malformed => self.broke(now, server),
            Status::Timeout if usual.count > 5.0 && (elapsed as f64) < usual.mean + 2.0 * usual.spread => {}
            Status::Timeout => self.failed(now, server, 1),
            Status::Cancelled | Status::NotSent => {}
        }
        if let (Status::Ok, true, Some(seen)) = (status, cache, class.and_then(|c| self.seen.get_mut(c))) {
            seen.count += 1.0;
            let gain = (1.0 / seen.count).max(0.03);
            let off = elapsed as f64 - seen.mean;
            seen.mean += gain * off;
            seen.spread += gain * (off.abs() - seen.spread);
        }
        if cache && status.reflects_server() {
            self.refused += 0.02 * (f64::from(u8::from(status == Status::ConnectFailed)) - self.refused);
            self.full += 0.05 * (f64::from(u8::from(status == Status::Rejected)) - self.full);
            self.errors += 0.05 * (f64::from(u8::from(status == Status::Error)) - self.errors);
        }
        self.served += f64::from(u8::from(status == Status::Ok));
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(a) = open.attempts.get_mut(o.attempt as usize) {
            a.pending = false;
            a.silent = status == Status::Timeout;
            a.broke = matches!(status, Status::Reset | Status::Malformed);
            a.may_have_run = !status.never_ran();
        }
        let streaming = open.streaming;
        if let (Some(b), false, true) = (open.bucket, open.write, cache && status.reflects_server()) {
            // Without a note an answer no slower than usual passes for a hit.
            let quick = (elapsed as f64) < usual.mean + 2.0 * usual.spread.max(1.0);
            self.learn(b, server, status == Status::Ok && hit.unwrap_or(quick));
        }
        if o.request_complete {
            if let Some(open) = self.open.remove(&id) {
                let late = self.settings.classes.get(open.class).map_or(0.0, |c| c.late_value);
                let worth = if now <= open.aim_at { 1.0 } else { late };
                self.ended(&open, if status == Status::Ok { worth } else { 0.0 });
                let out =
                    (0u32..).zip(&open.attempts).filter(|(_, a)| a.pending && self.settings.allow_cancel);
                actions.extend(out.map(|(attempt, _)| Action::Cancel { id, attempt }));
            }
            return;
        }
        let Some(open) = self.open.get(&id) else { return };
        if streaming || open.attempts.iter().any(|a| a.pending) {
            return;
        }
        if status == Status::Miss && self.settings.cache_aside {
            self.fetch(now, id, actions);
            return;
        }
        // Danger: a fetch that failed at one server, asked again at others, is one fetch more for each at an
        // origin that is failing already.
        // Where proxies fetch, a retry elsewhere after `Full` is a miss and a fetch more.
        let busy = status == Status::Rejected && self.settings.cache_aside && self.full > 2.0 * ERRORS;
        if (status == Status::Error && self.errors > ERRORS) || busy || !cache {
            self.give_up(id, actions);
            return;
        }
        // What was not sent, or found no connection, cost nobody work, and work ends with its connection. Danger:
        // in a release with servers gone and the list seconds late, or where connections break at random, a spent
        // budget refuses what the next server could serve, and that passes for a jam.
        let cheap =
            matches!(status, Status::NotSent | Status::ConnectFailed | Status::Reset | Status::Malformed);
        let cost = if cheap { 0.1 } else { 1.0 };
        if !self.again(now, id, cost, actions) {
            self.give_up(id, actions);
        }
    }

    /// Takes a miss to the origin, as far as the origin keeps up. Danger: it goes on with fetches that nobody
    /// waits for any more; once jammed, it fills no cache and stays jammed.
    fn fetch(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.proven = false;
        let class = open.class;
        let may = open.attempts.len() < self.settings.max_attempts as usize && now < open.deadline;
        let may = may && self.shed(now, class, false) < self.chance();
        match self.open.get(&id).and_then(|o| self.origin(now, o)) {
            Some(i) if may => self.send(now, id, i, actions),
            _ => {
                // What was refused says nothing of the origin.
                self.open.entry(id).and_modify(|o| o.judged = false);
                self.give_up(id, actions);
            }
        }
    }

    /// Sends a further attempt if number, time and budget allow it.
    fn again(&mut self, now: Nanos, id: RequestId, cost: f64, actions: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.remove(&id) else { return true };
        let left = open.deadline.saturating_sub(now) as f64;
        let may = (open.attempts.len() as u32) < self.settings.max_attempts
            && self.budget >= cost
            && left > (0.5 * self.usual(open.class).mean).max(MS as f64);
        let target = if may { self.choose(now, &open, 1) } else { None };
        self.open.insert(id, open);
        if let Some(i) = target {
            self.budget -= cost;
            self.send(now, id, i, actions);
        }
        target.is_some()
    }

    fn hedge(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let slow: Vec<ServerId> = open.attempts.iter().filter(|a| a.pending).map(|a| a.server).collect();
        if slow.len() != 1 || open.streaming || now >= open.deadline {
            return;
        }
        let server = slow[0];
        // No answer for so long counts against the server at once: a hung one is left after two of these.
        self.failed(now, server, 1);
        let allowed = |o: &Open| o.proven || self.errors <= ERRORS;
        if self.settings.hedging && self.open.get(&id).is_some_and(allowed) {
            self.again(now, id, 1.0, actions);
        }
    }

    // ---- admission ----

    fn usual(&self, class: usize) -> Seen {
        self.seen.get(class).cloned().unwrap_or_default()
    }

    /// Moves the part of the tries that is taken, by how many of those taken were served in time.
    /// Danger: servers that go on with work nobody waits for stay jammed by repeats for good, unless proxies
    /// send less than they are asked for. What was refused says nothing, or refusing would feed itself.
    fn steer(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.steered_at);
        if passed < STEP {
            return;
        }
        self.steered_at = now;
        let keep = (-(passed as f64) / (SHED_S * SECOND as f64)).exp();
        self.served *= keep;
        for (v, below) in self.valves.iter_mut().zip(SHED_BELOW) {
            let good = (v.timely + 2.0) / (v.ended + 2.0);
            if good < below {
                // Cut once, then judge only what was sent since. Danger: cutting on while old failures come
                // in, then opening fully, swings all proxies together between a flood and nothing.
                if v.taken > 0.9 * v.ceiling {
                    v.ceiling = 0.85 * v.taken;
                }
                v.taken = (0.5 * v.taken).max(0.03);
                (v.cut_at, v.ended, v.timely) = (now, 0.0, 0.0);
            } else if good > below + 0.15 {
                let quick = (1.2 * v.taken + 0.01).min(v.ceiling);
                v.taken = quick.max(v.taken + 0.005).min(1.0);
                v.ceiling = v.ceiling.max(v.taken);
            }
            (v.ended, v.timely) = (v.ended * keep, v.timely * keep);
        }
    }

    /// Takes note of how a request that was sent has ended.
    fn ended(&mut self, open: &Open, worth: f64) {
        // One that came past its aim could not have been in time: it says nothing of the servers.
        let v = &mut self.valves[usize::from(open.proven)];
        // Danger: who is turned away at once while the origin stops or queues are short would pass for a jam.
        let silent = open.attempts.iter().any(|a| a.pending || a.silent);
        if open.judged && (worth > 0.0 || silent) && open.arrived >= v.cut_at {
            v.ended += 1.0;
            v.timely += worth;
        }
    }

    /// The part of a class's tries to refuse unsent: the classes of least worth for their work first.
    fn shed(&mut self, now: Nanos, class: usize, proven: bool) -> f64 {
        self.steer(now);
        let taken = self.valves[usize::from(proven)].taken;
        if taken >= 1.0 {
            return 0.0;
        }
        let density = |c: usize, k: &Class| {
            let work = if self.settings.value_per_work { 1.0 } else { self.usual(c).mean.max(1.0) };
            k.value.max(1e-9) / work
        };
        let all = self.settings.classes.iter().enumerate().map(|(c, k)| density(c, k));
        let mean = all.sum::<f64>() / self.settings.classes.len().max(1) as f64;
        let own = self.settings.classes.get(class).map_or(mean, |k| density(class, k));
        (1.0 - taken).powf((own / mean).clamp(0.25, 4.0))
    }

    /// The final answer when nothing more can be done: a refusal where it is true that a repeat does no harm.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        self.ended(&open, 0.0);
        let class = self.settings.classes.get(open.class);
        let ran = open.attempts.iter().any(|a| a.pending || a.may_have_run);
        let harmless = match class.map_or(RetrySafety::Unsafe, |c| c.retry_safety) {
            RetrySafety::Safe => true,
            RetrySafety::Keyed => !ran || class.is_some_and(|c| c.dedup_scope == DedupScope::All),
            RetrySafety::Unsafe => !ran,
        };
        if harmless {
            // Advice to stay away while not all is taken, or while servers turn work away: the longer, the more.
            // Guards against clients that come back at once, fill the queues anew and get the next one refused.
            // Danger: after a jam that was short they stay away for longer than they had to.
            let shedding = self.valves[usize::from(open.proven)].taken < 1.0;
            let jam = if shedding { 1.0 } else { (self.full / JAMMED).min(1.0) };
            let wait = (jam * self.settings.max_retry_after as f64) as Nanos;
            actions.push(Action::Refuse { id, retry_after: wait });
        } else {
            actions.push(Action::Fail { id });
        }
    }
}
