//! Test driver for the balancer: holds the clock, feeds events and returns the resulting actions.
#![allow(dead_code)]

use calicosaddle::api::*;
use calicosaddle::Balancer;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

/// Default duration of an attempt.
const ATTEMPT_DURATION: Nanos = 20 * MS;

/// Settings of one of four proxies with a single safe request class; hedging and cancellation are allowed.
pub fn default_settings() -> Settings {
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

/// A ready, warmed-up server `server-{number}`; servers are distributed over three zones and six cells.
pub fn entry(number: u64) -> ServerEntry {
    let server = server_id(&format!("server-{number}"));
    ServerEntry {
        server,
        zone: (number % 3) as u32,
        kind: 0,
        cell: (number % 6) as u32,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

pub fn entries(numbers: std::ops::Range<u64>) -> Vec<ServerEntry> {
    numbers.map(entry).collect()
}

/// One proxy's balancer with a clock that the test advances.
pub struct TestProxy {
    pub balancer: Balancer,
    pub now: Nanos,
    next_request: RequestId,
}

impl TestProxy {
    pub fn new(settings: Settings, seed: u64) -> Self {
        TestProxy { balancer: Balancer::new(settings, seed), now: 1000 * SECOND, next_request: 1 }
    }

    /// A proxy that starts with a cached server list.
    pub fn with_servers(settings: Settings, servers: Vec<ServerEntry>) -> Self {
        let mut proxy = Self::new(settings, 7);
        proxy.update_list(ListKind::Cached, servers);
        proxy
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::ServerList { kind, entries })
    }

    /// Submits a request of class 0 for `key`; returns its id and the resulting actions.
    pub fn request(&mut self, key: u64) -> (RequestId, Vec<Action>) {
        self.submit(Request { key: Some(key), remaining: 800 * MS, ..Request::default() })
    }

    /// Submits `request` under the next free id; returns that id and the resulting actions.
    pub fn submit(&mut self, mut request: Request) -> (RequestId, Vec<Action>) {
        request.id = self.next_request;
        self.next_request += 1;
        (request.id, self.handle(Event::Arrival(request)))
    }

    /// Reports the end of an attempt that took [`ATTEMPT_DURATION`].
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        hit: Option<bool>,
    ) -> Vec<Action> {
        self.finish_attempt_after(id, attempt, server, status, hit, ATTEMPT_DURATION)
    }

    /// Reports the end of an attempt that took `elapsed`. A successful attempt also ends its request.
    pub fn finish_attempt_after(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        hit: Option<bool>,
        elapsed: Nanos,
    ) -> Vec<Action> {
        let request_complete = status == Status::Ok;
        self.handle(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            elapsed,
            request_complete,
            hit,
            load_report: vec![],
        }))
    }

    /// Submits a request, reports success for its first attempt and returns the server of that attempt.
    ///
    /// The clock advances by [`ATTEMPT_DURATION`], which keeps requests far enough apart that no bucket counts as hot.
    pub fn serve(&mut self, key: u64, hit: bool) -> ServerId {
        let (id, actions) = self.request(key);
        let server = sent_server(&actions).expect("the request is sent");
        self.now += ATTEMPT_DURATION;
        self.finish_attempt(id, 0, server, Status::Ok, Some(hit));
        server
    }

    /// Serves hits for keys that no test checks, so that the key under test is not a hot one.
    pub fn serve_background_keys(&mut self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            self.now += MS;
            self.serve(0x9999_0000 + number * 7919, true);
        }
    }
}

/// The server of the first attempt that `actions` send.
pub fn sent_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

/// The number of unsuccessful final answers in `actions`.
pub fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count()
}
