//! A hand-driven proxy for the module's tests: it keeps the clock, the list and what the module did.
#![allow(dead_code)]

use calicosaddle::api::*;
use calicosaddle::Balancer;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

pub fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            latency_target: 300 * MS,
            deadline: 800 * MS,
            value: 1.0,
            dedup_window: SECOND,
            ..Class::default()
        }],
        proxy_count: 4,
        max_attempts: 4,
        allow_cancel: true,
        hedging: true,
        max_retry_after: SECOND,
        slow_start_initial_fraction: 0.2,
        slow_start_duration: 20 * SECOND,
        overload_multiple: 3.0,
        overload_duration: SECOND,
        drain_grace: 500 * MS,
        discovery_poll_interval: 10 * SECOND,
        ..Settings::default()
    }
}

pub fn entry(n: u64) -> ServerEntry {
    let server = server_id(&format!("server-{n}"));
    ServerEntry {
        server,
        zone: (n % 3) as u32,
        kind: 0,
        cell: (n % 6) as u32,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

pub fn entries(numbers: std::ops::Range<u64>) -> Vec<ServerEntry> {
    numbers.map(entry).collect()
}

pub struct Proxy {
    pub brain: Balancer,
    pub now: Nanos,
    next: RequestId,
}

impl Proxy {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Proxy { brain: Balancer::new(settings, seed), now: 1000 * SECOND, next: 1 }
    }

    pub fn with(settings: Settings, list: Vec<ServerEntry>) -> Self {
        let mut p = Self::new(settings, 7);
        p.list(ListKind::Cached, list);
        p
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.brain.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.event(Event::ServerList { kind, entries })
    }

    /// A request of class 0; returns its id and what was done.
    pub fn ask(&mut self, key: u64) -> (RequestId, Vec<Action>) {
        self.ask_as(Request { key: Some(key), remaining: 800 * MS, ..Request::default() })
    }

    pub fn ask_as(&mut self, mut request: Request) -> (RequestId, Vec<Action>) {
        request.id = self.next;
        self.next += 1;
        (request.id, self.event(Event::Arrival(request)))
    }

    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        hit: Option<bool>,
    ) -> Vec<Action> {
        self.end_after(id, attempt, server, status, hit, 20 * MS)
    }

    pub fn end_after(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        hit: Option<bool>,
        elapsed: Nanos,
    ) -> Vec<Action> {
        let last = status == Status::Ok;
        self.event(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            elapsed,
            request_complete: last,
            hit,
            load_report: vec![],
        }))
    }

    /// Asks, answers and returns the server that was asked first.
    pub fn served(&mut self, key: u64, hit: bool) -> ServerId {
        let (id, actions) = self.ask(key);
        let server = sent(&actions).expect("sent");
        self.now += 20 * MS;
        self.end(id, 0, server, Status::Ok, Some(hit));
        // Requests far enough apart that no bucket counts as hot.
        server
    }

    /// Fills the traffic count with other keys, so that the key under test is one of many.
    pub fn crowd(&mut self, keys: std::ops::Range<u64>) {
        for k in keys {
            self.now += MS;
            self.served(0x9999_0000 + k * 7919, true);
        }
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

pub fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count()
}
