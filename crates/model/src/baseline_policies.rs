//! Policies to compare the shipped one with. All share one chassis, so that they differ in the choice alone: an attempt
//! has half of the time that is left, the last all of it; what may be repeated is, at another box; nothing is turned
//! away before it was tried.

use crate::policy::{Policy, Shipped, Truth};
use crate::random::RandomSource;
use calicosaddle::api::*;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// All policies by name; the first is the shipped module.
pub const NAMES: [&str; 9] = [
    "shipped",
    "random",
    "round-robin",
    "least-outstanding",
    "two-choices",
    "rendezvous",
    "bounded-loads",
    "paper",
    "oracle",
];

/// Makes a policy by its name; nothing if there is none of that name.
pub fn make(name: &str, settings: &Settings, seed: u64) -> Option<Box<dyn Policy>> {
    let rule = match name {
        "shipped" => return Some(Box::new(Shipped::new(settings, seed))),
        "random" => Rule::Random,
        "round-robin" => Rule::RoundRobin,
        "least-outstanding" => Rule::LeastOutstanding,
        "two-choices" => Rule::TwoChoices,
        "rendezvous" => Rule::Rendezvous,
        "bounded-loads" => Rule::BoundedLoads,
        "paper" => Rule::Paper,
        "oracle" => Rule::Oracle,
        _ => return None,
    };
    Some(Box::new(BaselinePolicy::new(rule, settings.clone(), seed)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Any box.
    Random,
    /// One after the other.
    RoundRobin,
    /// The box with the fewest attempts of this proxy out for its weight.
    LeastOutstanding,
    /// The less loaded of two drawn by chance (Mitzenmacher, 2001).
    TwoChoices,
    /// The key's first box by weighted rendezvous hashing, the next on a repeat.
    Rendezvous,
    /// The same, passed over while it holds more than 1.25 times its part (Mirrokni, Thorup, Zadimoghaddam, 2018).
    BoundedLoads,
    /// The paper's rule as printed: each key has two candidates, asks both in turn, and stays for good with the
    /// first that gives two hits in a row.
    Paper,
    /// The box that would serve it soonest, as the model knows it.
    Oracle,
}

/// Candidates of a key, and straight hits, of the paper's rule.
const SIGMA: usize = 2;
const TAU: usize = 2;
/// The part beyond its fair one that a box may hold.
const BOUND: f64 = 1.25;

struct Open {
    request: Request,
    until: Nanos,
    tried: Vec<ServerId>,
    out: u32,
    /// None of the attempts so far may have run.
    unseen: bool,
}

#[derive(Default)]
struct Trial {
    windows: [VecDeque<bool>; SIGMA],
    pinned: Option<usize>,
    turn: usize,
}

struct BaselinePolicy {
    rule: Rule,
    settings: Settings,
    chance: RandomSource,
    boxes: Vec<ServerEntry>,
    out: FxHashMap<ServerId, u32>,
    open: FxHashMap<RequestId, Open>,
    trials: FxHashMap<u64, Trial>,
    turn: usize,
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl BaselinePolicy {
    fn new(rule: Rule, settings: Settings, seed: u64) -> Self {
        BaselinePolicy {
            rule,
            settings,
            chance: RandomSource::new(seed, 77),
            boxes: Vec::new(),
            out: FxHashMap::default(),
            open: FxHashMap::default(),
            trials: FxHashMap::default(),
            turn: 0,
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            actions.push(Action::Subscribe);
            return;
        }
        if kind != ListKind::Delta {
            self.boxes.clear();
        }
        for entry in entries {
            match self.boxes.binary_search_by_key(&entry.server, |b| b.server) {
                Ok(at) => self.boxes[at] = entry,
                Err(at) => self.boxes.insert(at, entry),
            }
        }
        if kind == ListKind::Cached {
            actions.push(Action::Subscribe);
        }
    }

    fn held(&self, entry: &ServerEntry) -> f64 {
        f64::from(self.out.get(&entry.server).copied().unwrap_or(0)) / entry.weight.max(1e-9)
    }

    /// The best boxes for a key by weighted rendezvous hashing, in their order.
    fn ranked(&self, key: u64, usable: &[usize], count: usize) -> Vec<usize> {
        let score = |i: &usize| {
            let entry = &self.boxes[*i];
            let unit = (mix(key ^ entry.server) >> 11) as f64 / (1u64 << 53) as f64;
            -libm::log(unit.max(1e-300)) / entry.weight.max(1e-9)
        };
        let mut all: Vec<(f64, usize)> = usable.iter().map(|i| (score(i), *i)).collect();
        let count = count.min(all.len());
        if count < all.len() && count > 0 {
            all.select_nth_unstable_by(count - 1, |a, b| a.0.total_cmp(&b.0));
        }
        all.truncate(count);
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        all.into_iter().map(|(_, i)| i).collect()
    }

    fn pick(&mut self, request: &Request, tried: &[ServerId], truth: &dyn Truth) -> Option<ServerId> {
        let fits = |b: &ServerEntry| b.state == ServerState::Ready && !tried.contains(&b.server);
        let usable: Vec<usize> = (0..self.boxes.len()).filter(|i| fits(&self.boxes[*i])).collect();
        let n = usable.len();
        if n == 0 {
            return None;
        }
        let key = request.key.unwrap_or(request.id);
        let at = match self.rule {
            Rule::Random => usable[self.chance.below(n)],
            Rule::RoundRobin => {
                self.turn += 1;
                usable[self.turn % n]
            }
            Rule::LeastOutstanding => {
                let first = self.chance.below(n);
                let turned = usable[first..].iter().chain(&usable[..first]);
                *turned.min_by(|a, b| self.held(&self.boxes[**a]).total_cmp(&self.held(&self.boxes[**b])))?
            }
            Rule::TwoChoices => {
                let (a, b) = (usable[self.chance.below(n)], usable[self.chance.below(n)]);
                if self.held(&self.boxes[a]) <= self.held(&self.boxes[b]) {
                    a
                } else {
                    b
                }
            }
            Rule::Rendezvous => *self.ranked(key, &usable, 1).first()?,
            Rule::BoundedLoads => {
                let weight: f64 = usable.iter().map(|i| self.boxes[*i].weight).sum();
                let out: u32 = usable.iter().filter_map(|i| self.out.get(&self.boxes[*i].server)).sum();
                let fair = f64::from(out + 1) / weight * BOUND;
                let order = self.ranked(key, &usable, n);
                let room = |i: &&usize| self.held(&self.boxes[**i]) < fair.max(1.0);
                *order.iter().find(room).or(order.first())?
            }
            Rule::Paper => {
                // Candidates come from the whole list: who is drained or dead keeps its place.
                let all: Vec<usize> = (0..self.boxes.len()).collect();
                let candidates = self.ranked(key, &all, SIGMA);
                let trial = self.trials.entry(key).or_default();
                trial.turn += 1;
                let first = trial.pinned.unwrap_or(trial.turn % SIGMA);
                let order = (0..SIGMA).map(|i| (first + i) % SIGMA);
                let fit = order.filter_map(|c| candidates.get(c)).find(|i| usable.contains(i));
                match fit {
                    Some(i) => *i,
                    None => return None,
                }
            }
            Rule::Oracle => {
                let first = self.chance.below(n);
                let turned = usable[first..].iter().chain(&usable[..first]);
                let known = turned.filter_map(|i| Some((truth.wait(self.boxes[*i].server)?, *i)));
                known.min_by_key(|(wait, _)| *wait)?.1
            }
        };
        Some(self.boxes[at].server)
    }

    /// Tries it at the next box, or gives it up.
    fn attempt(&mut self, now: Nanos, id: RequestId, truth: &dyn Truth, actions: &mut Vec<Action>) {
        let Some(mut open) = self.open.remove(&id) else { return };
        let most = self.settings.max_attempts.max(1) as usize;
        let left = open.until.saturating_sub(now);
        let picked = if open.tried.len() < most && left > 0 {
            self.pick(&open.request, &open.tried, truth)
        } else {
            None
        };
        let Some(server) = picked else {
            let class = self.settings.classes.get(open.request.class as usize);
            let harmless = open.unseen || class.is_some_and(|c| c.retry_safety == RetrySafety::Safe);
            actions.push(if harmless { Action::Refuse { id, retry_after: 0 } } else { Action::Fail { id } });
            return;
        };
        open.tried.push(server);
        open.out += 1;
        *self.out.entry(server).or_default() += 1;
        let timeout = if open.tried.len() < most { left / 2 } else { 0 };
        self.open.insert(id, open);
        actions.push(Action::Send { id, server, timeout });
    }

    fn ended(&mut self, now: Nanos, o: &Outcome, truth: &dyn Truth, actions: &mut Vec<Action>) {
        if let Some(out) = self.out.get_mut(&o.server) {
            *out = out.saturating_sub(1);
        }
        let Some(open) = self.open.get_mut(&o.id) else { return };
        open.out -= 1;
        open.unseen &= o.status.never_ran();
        if self.rule == Rule::Paper {
            let key = open.request.key.unwrap_or(o.id);
            let all: Vec<usize> = (0..self.boxes.len()).collect();
            let at = self.ranked(key, &all, SIGMA).iter().position(|i| self.boxes[*i].server == o.server);
            if let (Some(at), Some(trial)) = (at, self.trials.get_mut(&key)) {
                let window = &mut trial.windows[at];
                window.push_back(o.status == Status::Ok && o.hit != Some(false));
                if window.len() > TAU {
                    window.pop_front();
                }
                if trial.pinned.is_none() && window.len() == TAU && window.iter().all(|hit| *hit) {
                    trial.pinned = Some(at);
                }
            }
        }
        if o.status == Status::Ok || o.request_complete {
            self.open.remove(&o.id);
            return;
        }
        let Some(open) = self.open.get(&o.id) else { return };
        let class = self.settings.classes.get(open.request.class as usize);
        if o.status.never_ran() || class.is_some_and(|c| c.retry_safety == RetrySafety::Safe) {
            self.attempt(now, o.id, truth, actions);
        } else {
            self.open.remove(&o.id);
            actions.push(Action::Fail { id: o.id });
        }
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Nanos, event: Event, truth: &dyn Truth, actions: &mut Vec<Action>) {
        match event {
            Event::ServerList { kind, entries } => self.list(kind, entries, actions),
            Event::Arrival(request) => {
                let (id, until) = (request.id, now + request.remaining);
                let open = Open { request, until, tried: Vec::new(), out: 0, unseen: true };
                self.open.insert(id, open);
                self.attempt(now, id, truth, actions);
            }
            Event::Outcome(outcome) => self.ended(now, &outcome, truth, actions),
            Event::Abandoned(id) => {
                self.open.remove(&id);
            }
            Event::Settings(settings) => self.settings = *settings,
            Event::OperatorDrained(_) | Event::Timer(_) | Event::Probed { .. } | Event::StreamStarted(_) => {}
        }
    }
}
