//! Property tests of the request rules, over event sequences generated from a fixed seed:
//!
//! - an attempt is sent only to a ready server, before the deadline and before the final answer;
//! - a request has at most the configured number of attempts, and no two at once without hedging;
//! - a request that may have run is repeated only as its class's effect, group and deduplication window allow;
//! - every request gets exactly one final answer, and it is refused only where a repeat by the client is harmless.

mod common;
use calicosaddle::api::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// A generated event. Indices are taken modulo the number of pending attempts or open requests.
#[derive(Clone, Debug)]
enum Step {
    Submit { class: u32, key: u64, remaining_ms: u64, write: bool },
    FinishAttempt { pending: usize, status: usize },
    AdvanceClock { ms: u64 },
    ChangeServer { server: u64, state: usize },
    ClientLeaves { open: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..4, 0u64..40, 0u64..900, any::<bool>())
            .prop_map(|(class, key, remaining_ms, write)| Step::Submit { class, key, remaining_ms, write }),
        5 => (0usize..64, 0..ATTEMPT_STATUSES.len())
            .prop_map(|(pending, status)| Step::FinishAttempt { pending, status }),
        3 => (0u64..300).prop_map(|ms| Step::AdvanceClock { ms }),
        1 => (0u64..8, 0usize..3).prop_map(|(server, state)| Step::ChangeServer { server, state }),
        1 => (0usize..64).prop_map(|open| Step::ClientLeaves { open }),
    ]
}

const ATTEMPT_STATUSES: [Status; 10] = [
    Status::Ok,
    Status::Error,
    Status::Rejected,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Malformed,
    Status::Cancelled,
    Status::NotSent,
    Status::Miss,
];

struct TrackedAttempt {
    server: ServerId,
    sent_at: Nanos,
    times_out_at: Nanos,
    pending: bool,
    may_have_run: bool,
}

struct TrackedRequest {
    class: usize,
    deadline: Nanos,
    /// It has its final answer, or its client has left.
    closed: bool,
    attempts: Vec<TrackedAttempt>,
}

/// Clients, servers and timers around one proxy; checks each action against the rules.
struct RuleChecker {
    proxy: TestProxy,
    settings: Settings,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: Vec<(Nanos, u64)>,
    servers: BTreeMap<ServerId, ServerEntry>,
}

impl RuleChecker {
    fn new(settings: Settings) -> Self {
        let list = entries(0..8);
        let proxy = TestProxy::new(settings.clone(), 11);
        let mut checker = RuleChecker {
            proxy,
            settings,
            requests: BTreeMap::new(),
            timers: Vec::new(),
            servers: list.iter().map(|e| (e.server, e.clone())).collect(),
        };
        let actions = checker.proxy.update_list(ListKind::Cached, list);
        checker.check_actions(actions);
        checker
    }

    fn check_actions(&mut self, actions: Vec<Action>) {
        let now = self.proxy.now;
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => self.check_send(id, server, timeout),
                Action::Refuse { id, .. } => {
                    let request = self.requests.get_mut(&id).expect("a submitted request");
                    assert!(!request.closed, "two final answers");
                    let class = &self.settings.classes[request.class];
                    let may_have_run = request.attempts.iter().any(|a| a.pending || a.may_have_run);
                    assert!(
                        !may_have_run
                            || class.retry_safety == RetrySafety::Safe
                            || (class.retry_safety == RetrySafety::Keyed
                                && class.dedup_scope == DedupScope::All)
                    );
                    request.closed = true;
                }
                Action::Fail { id } => {
                    let request = self.requests.get_mut(&id).expect("a submitted request");
                    assert!(!request.closed, "two final answers");
                    request.closed = true;
                }
                Action::Timer { token, delay } => self.timers.push((now + delay, token)),
                Action::Cancel { id, attempt } => {
                    assert!(self.settings.allow_cancel);
                    assert!((attempt as usize) < self.requests[&id].attempts.len());
                }
                Action::CloseIdle(_) => {}
                Action::Probe(_) => assert!(self.settings.allow_probe),
                Action::Subscribe => panic!("the balancer subscribed to the server list"),
            }
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId, timeout: Nanos) {
        let now = self.proxy.now;
        let request = self.requests.get_mut(&id).expect("a submitted request");
        assert!(!request.closed, "sent after the final answer");
        assert!(now <= request.deadline, "sent after the deadline");
        assert_eq!(self.servers[&server].state, ServerState::Ready, "sent to a draining or removed server");
        assert!(request.attempts.len() < self.settings.max_attempts as usize, "too many attempts");
        assert!(
            self.settings.hedging || request.attempts.iter().all(|a| !a.pending),
            "two attempts at once although hedging is off"
        );
        let class = &self.settings.classes[request.class];
        for attempt in request.attempts.iter().filter(|a| a.pending || a.may_have_run) {
            let (old, new) = (&self.servers[&attempt.server], &self.servers[&server]);
            match class.retry_safety {
                RetrySafety::Safe => {}
                RetrySafety::Unsafe => panic!("an unsafe request sent again after it may have run"),
                RetrySafety::Keyed => {
                    assert!(
                        now < attempt.sent_at + class.dedup_window,
                        "sent again after the deduplication window"
                    );
                    match class.dedup_scope {
                        DedupScope::All => {}
                        DedupScope::Zone => assert_eq!(old.zone, new.zone),
                        DedupScope::Cell => assert_eq!((old.zone, old.cell), (new.zone, new.cell)),
                    }
                }
            }
        }
        let times_out_at = if timeout == 0 { request.deadline } else { request.deadline.min(now + timeout) };
        request.attempts.push(TrackedAttempt {
            server,
            sent_at: now,
            times_out_at,
            pending: true,
            may_have_run: false,
        });
    }

    fn finish_attempt(&mut self, id: RequestId, number: usize, status: Status) {
        let now = self.proxy.now;
        let request = self.requests.get_mut(&id).expect("a submitted request");
        let attempt = &mut request.attempts[number];
        (attempt.pending, attempt.may_have_run) = (false, !status.never_ran());
        let (server, sent_at) = (attempt.server, attempt.sent_at);
        request.closed |= status == Status::Ok;
        let request_complete = request.closed;
        let event = Event::Outcome(Outcome {
            id,
            attempt: number as u32,
            server,
            status,
            elapsed: now - sent_at,
            request_complete,
            hit: None,
            load_report: vec![],
        });
        let actions = self.proxy.handle(event);
        self.check_actions(actions);
    }

    /// Advances the clock to `until`; attempt time-outs and timers fire in order of time on the way.
    fn advance_clock(&mut self, until: Nanos) {
        loop {
            let timeouts = self.requests.iter().flat_map(|(id, request)| {
                let pending = request.attempts.iter().enumerate().filter(|(_, a)| a.pending);
                pending.map(move |(number, a)| (a.times_out_at, *id, number))
            });
            let next_timeout = timeouts.min();
            let next_timer = self.timers.iter().copied().min();
            match (next_timeout, next_timer) {
                (Some((at, id, number)), timer) if at <= until && timer.is_none_or(|t| at <= t.0) => {
                    self.proxy.now = self.proxy.now.max(at);
                    self.finish_attempt(id, number, Status::Timeout);
                }
                (_, Some((at, token))) if at <= until => {
                    self.timers.retain(|t| *t != (at, token));
                    self.proxy.now = self.proxy.now.max(at);
                    let actions = self.proxy.handle(Event::Timer(token));
                    self.check_actions(actions);
                }
                _ => break,
            }
        }
        self.proxy.now = until;
        for (id, request) in &self.requests {
            assert!(
                request.closed || request.deadline + 20 * MS >= until,
                "request {id} has no final answer 20 ms after its deadline"
            );
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Submit { class, key, remaining_ms, write } => {
                let class = class % self.settings.classes.len() as u32;
                let remaining = remaining_ms * MS;
                let id = self.requests.len() as u64 + 1;
                let deadline = self.proxy.now + remaining;
                let tracked =
                    TrackedRequest { class: class as usize, deadline, closed: false, attempts: vec![] };
                self.requests.insert(id, tracked);
                let request = Request { class, key: Some(key), remaining, write, ..Request::default() };
                let (submitted, actions) = self.proxy.submit(request);
                assert_eq!(submitted, id);
                self.check_actions(actions);
            }
            Step::FinishAttempt { pending: index, status } => {
                let pending: Vec<(RequestId, usize)> = self
                    .requests
                    .iter()
                    .flat_map(|(id, request)| {
                        let pending = request.attempts.iter().enumerate().filter(|(_, a)| a.pending);
                        pending.map(move |(number, _)| (*id, number))
                    })
                    .collect();
                if let Some((id, number)) = pending.get(index % pending.len().max(1)) {
                    self.finish_attempt(*id, *number, ATTEMPT_STATUSES[status]);
                }
            }
            Step::AdvanceClock { ms } => self.advance_clock(self.proxy.now + ms * MS),
            Step::ChangeServer { server, state } => {
                let state = [ServerState::Ready, ServerState::Draining, ServerState::Removed][state];
                let changed = ServerEntry { state, ..entry(server) };
                self.servers.insert(changed.server, changed.clone());
                let actions = self.proxy.update_list(ListKind::Delta, vec![changed]);
                self.check_actions(actions);
            }
            Step::ClientLeaves { open: index } => {
                let open: Vec<RequestId> =
                    self.requests.iter().filter(|(_, r)| !r.closed).map(|(id, _)| *id).collect();
                if let Some(id) = open.get(index % open.len().max(1)) {
                    self.requests.get_mut(id).expect("a submitted request").closed = true;
                    let actions = self.proxy.handle(Event::Abandoned(*id));
                    self.check_actions(actions);
                }
            }
        }
    }
}

/// Runs 200 generated event sequences and checks the rules after each event.
fn assert_rules_hold(settings: Settings) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(step(), 1..120), |steps| {
        let mut checker = RuleChecker::new(settings.clone());
        steps.into_iter().for_each(|step| checker.run_step(step));
        checker.advance_clock(checker.proxy.now + 5 * SECOND);
        Ok(())
    });
    result.expect("the request rules hold");
}

/// Four classes: safe, keyed over all servers, keyed within a cell, and unsafe.
fn settings_with_all_effects() -> Settings {
    let mut settings = default_settings();
    let base = settings.classes[0].clone();
    let keyed = |dedup_scope| Class { retry_safety: RetrySafety::Keyed, dedup_scope, ..base.clone() };
    settings.classes.push(keyed(DedupScope::All));
    settings.classes.push(keyed(DedupScope::Cell));
    settings.classes.push(Class { retry_safety: RetrySafety::Unsafe, ..base.clone() });
    settings
}

#[test]
fn request_rules_hold_with_hedging() {
    assert_rules_hold(settings_with_all_effects());
}

#[test]
fn request_rules_hold_without_hedging_or_cancellation_and_with_polled_lists() {
    assert_rules_hold(Settings {
        hedging: false,
        poll_discovery: true,
        allow_cancel: false,
        ..settings_with_all_effects()
    });
}

#[test]
fn request_rules_hold_when_the_proxy_fetches_misses_from_the_origin() {
    assert_rules_hold(Settings { cache_aside: true, origin_kind: Some(0), ..settings_with_all_effects() });
    assert_rules_hold(Settings {
        cache_aside: true,
        origin_kind: Some(1),
        max_attempts: 2,
        ..settings_with_all_effects()
    });
}
