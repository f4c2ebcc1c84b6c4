//! All decisions of calicosaddle: events go in, actions come out. The types of both are in [`crate::api`].
//!
//! Routing follows Go-With-The-Winner. Keys are hashed into buckets, and each bucket has a few candidate servers,
//! each with a window of its last outcomes. The first candidate with enough hits in a row wins the bucket and keeps
//! it, so that each key is cached on one server.
//!
//! * `membership`: the listed servers and the subset that this proxy sends to.
//! * `affinity`: ranking of servers for a bucket, outcome windows and pins.
//! * `candidates`: choice of the server for an attempt.
//! * `health`, `slow_start`, `latency`, `concurrency`: what keeps requests from servers that are down, recovering,
//!   slow or full.
//! * `admission`: the fraction of requests that is sent at all.
//! * `arrival`, `attempts`, `outcome`: the course of a request.
//! * `traffic`, `connections`: request counts, and idle connections that are not worth keeping.
//! * `server`, `request`, `hash`: shared state and functions.

mod admission;
mod affinity;
mod arrival;
mod attempts;
mod candidates;
mod concurrency;
mod connections;
mod hash;
mod health;
mod latency;
mod membership;
mod outcome;
mod request;
mod server;
mod slow_start;
mod traffic;

use crate::api::*;
use admission::AdmissionControl;
use affinity::Bucket;
use attempts::{HEDGE_TIMER, TIMER_KIND_SHIFT};
use hash::{mix, unit};
use health::ZoneHealth;
use latency::ClassStats;
use request::OpenRequest;
use rustc_hash::{FxHashMap, FxHashSet};
use server::Server;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000_000_000;
/// Least sum of weights, and least value of a class, that is divided by.
const MIN_DIVISOR: f64 = 1e-9;
/// Increment of the state of SplitMix64, the generator of random numbers.
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The decision module of one proxy.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    /// State of the only source of randomness.
    random_state: u64,
    /// Time of the first event.
    started_at: Option<Nanos>,

    // Membership.
    index_by_id: FxHashMap<ServerId, u32>,
    operator_drained: FxHashSet<ServerId>,
    servers: Vec<Server>,
    /// Indices in `servers` of removed servers.
    free_slots: Vec<u32>,
    /// Incremented whenever the subset is drawn; rankings made from an older subset are recomputed.
    ranking_version: u64,
    /// Servers that this proxy sends to, and their weight.
    subset: Vec<u32>,
    subset_weight: f64,
    /// Weight and number of all servers that can be candidates.
    total_weight: f64,
    eligible_count: f64,
    /// Health of the zones other than this proxy's.
    zone_health: FxHashMap<u32, ZoneHealth>,

    // Traffic.
    buckets: FxHashMap<u32, Bucket>,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    class_stats: Vec<ClassStats>,
    /// Decaying count of requests.
    request_count: f64,
    /// When `request_count` was last updated.
    counted_at: Nanos,
    /// Attempts of this proxy that have not ended, at all servers.
    total_inflight: f64,
    /// Retries and hedges that may be sent now.
    retry_budget: f64,

    // Moving measures of outcomes.
    /// Decaying sum of attempts that succeeded.
    recent_successes: f64,
    /// Fractions of the outcomes at cache nodes.
    error_ratio: f64,
    rejected_ratio: f64,
    connect_failed_ratio: f64,
    /// Moving mean of the latency scores of all servers.
    mean_latency_score: f64,

    // Admission control, for requests that are not likely hits and for those that are.
    admission_updated_at: Nanos,
    admission: [AdmissionControl; 2],
}

impl Balancer {
    /// Returns a balancer that has learned nothing yet; `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_stats = vec![ClassStats::default(); settings.classes.len()];
        let initial =
            Balancer { admission: [AdmissionControl::open(); 2], retry_budget: 1.0, ..Balancer::default() };
        Balancer { settings, class_stats, random_state: seed, ..initial }
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.started_at.get_or_insert(now);
        match event {
            Event::ServerList { kind, entries } => self.update_servers(now, kind, entries),
            Event::OperatorDrained(servers) => self.set_operator_drained(servers),
            Event::Settings(settings) => {
                self.settings = *settings;
                self.update_subset();
            }
            Event::Arrival(request) => self.handle_arrival(now, request, actions),
            Event::Outcome(outcome) => self.handle_outcome(now, &outcome, actions),
            Event::Probed { server, status: Status::Ok, .. } => self.clear_failures(server),
            Event::Timer(token) if token >> TIMER_KIND_SHIFT == HEDGE_TIMER >> TIMER_KIND_SHIFT => {
                self.handle_hedge_timer(now, token & (HEDGE_TIMER - 1), actions)
            }
            Event::Probed { .. } | Event::Timer(_) => {}
            // A client that leaves while its answer could still be in time is no sign of a slow server. If it
            // counted, many clients that leave early or all at once would be taken for an overload.
            Event::Abandoned(id) => {
                let late =
                    self.open_requests.remove(&id).filter(|open| open.target_at.min(open.deadline) <= now);
                late.iter().for_each(|open| self.record_request_end(open, 0.0));
            }
            Event::StreamStarted(id) => {
                self.open_requests.get_mut(&id).into_iter().for_each(|open| open.streaming = true)
            }
        }
    }

    /// Draws a random number above 0 and at most 1 (SplitMix64).
    fn random_unit(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(SPLITMIX64_INCREMENT);
        unit(mix(self.random_state))
    }
}
