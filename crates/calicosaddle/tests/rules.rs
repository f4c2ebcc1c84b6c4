//! The four rules as properties over generated event sequences, with a fixed seed.

mod common;
use calicosaddle::api::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Ask { class: u32, key: u64, remaining: u64, write: bool },
    End { which: usize, status: usize },
    Pass { ms: u64 },
    Change { server: u64, state: usize },
    Leave { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..4, 0u64..40, 0u64..900, any::<bool>())
            .prop_map(|(class, key, remaining, write)| Step::Ask { class, key, remaining, write }),
        5 => (0usize..64, 0..ENDS.len()).prop_map(|(which, status)| Step::End { which, status }),
        3 => (0u64..300).prop_map(|ms| Step::Pass { ms }),
        1 => (0u64..8, 0usize..3).prop_map(|(server, state)| Step::Change { server, state }),
        1 => (0usize..64).prop_map(|which| Step::Leave { which }),
    ]
}

const ENDS: [Status; 10] = [
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

struct Try {
    server: ServerId,
    sent: Nanos,
    due: Nanos,
    pending: bool,
    ran: bool,
}

struct Asked {
    class: usize,
    deadline: Nanos,
    over: bool,
    tries: Vec<Try>,
}

/// The world around one proxy, which checks each action as it is made.
struct World {
    proxy: Proxy,
    settings: Settings,
    asked: BTreeMap<RequestId, Asked>,
    timers: Vec<(Nanos, u64)>,
    list: BTreeMap<ServerId, ServerEntry>,
}

impl World {
    fn new(settings: Settings) -> Self {
        let list = entries(0..8);
        let proxy = Proxy::new(settings.clone(), 11);
        let mut w = World {
            proxy,
            settings,
            asked: BTreeMap::new(),
            timers: Vec::new(),
            list: list.iter().map(|e| (e.server, e.clone())).collect(),
        };
        let actions = w.proxy.list(ListKind::Cached, list);
        w.check(actions);
        w
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.proxy.now;
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => {
                    let r = self.asked.get_mut(&id).expect("a known request");
                    assert!(!r.over, "sent after the final answer");
                    assert!(now <= r.deadline, "sent after the deadline");
                    assert_eq!(
                        self.list[&server].state,
                        ServerState::Ready,
                        "sent to a server that drains or is gone"
                    );
                    assert!(r.tries.len() < self.settings.max_attempts as usize, "too many attempts");
                    assert!(self.settings.hedging || r.tries.iter().all(|t| !t.pending), "two at once");
                    let class = &self.settings.classes[r.class];
                    for t in r.tries.iter().filter(|t| t.pending || t.ran) {
                        let (old, new) = (&self.list[&t.server], &self.list[&server]);
                        match class.retry_safety {
                            RetrySafety::Safe => {}
                            RetrySafety::Unsafe => panic!("an unsafe request sent again"),
                            RetrySafety::Keyed => {
                                assert!(now < t.sent + class.dedup_window, "sent outside the window");
                                match class.dedup_scope {
                                    DedupScope::All => {}
                                    DedupScope::Zone => assert_eq!(old.zone, new.zone),
                                    DedupScope::Cell => {
                                        assert_eq!((old.zone, old.cell), (new.zone, new.cell))
                                    }
                                }
                            }
                        }
                    }
                    let due = if timeout == 0 { r.deadline } else { r.deadline.min(now + timeout) };
                    r.tries.push(Try { server, sent: now, due, pending: true, ran: false });
                }
                Action::Refuse { id, .. } => {
                    let r = self.asked.get_mut(&id).expect("a known request");
                    assert!(!r.over, "two final answers");
                    let class = &self.settings.classes[r.class];
                    let ran = r.tries.iter().any(|t| t.pending || t.ran);
                    assert!(
                        !ran || class.retry_safety == RetrySafety::Safe
                            || (class.retry_safety == RetrySafety::Keyed
                                && class.dedup_scope == DedupScope::All)
                    );
                    r.over = true;
                }
                Action::Fail { id } => {
                    let r = self.asked.get_mut(&id).expect("a known request");
                    assert!(!r.over, "two final answers");
                    r.over = true;
                }
                Action::Timer { token, delay } => self.timers.push((now + delay, token)),
                Action::Cancel { id, attempt } => {
                    assert!(self.settings.allow_cancel);
                    assert!((attempt as usize) < self.asked[&id].tries.len());
                }
                Action::CloseIdle(_) => {}
                Action::Probe(_) => assert!(self.settings.allow_probe),
                Action::Subscribe => panic!("the module does not follow lists"),
            }
        }
    }

    fn finish(&mut self, id: RequestId, n: usize, status: Status) {
        let now = self.proxy.now;
        let r = self.asked.get_mut(&id).expect("asked");
        let t = &mut r.tries[n];
        (t.pending, t.ran) = (false, !status.never_ran());
        let (server, sent) = (t.server, t.sent);
        r.over |= status == Status::Ok;
        let last = r.over;
        let event = Event::Outcome(Outcome {
            id,
            attempt: n as u32,
            server,
            status,
            elapsed: now - sent,
            request_complete: last,
            hit: None,
            load_report: vec![],
        });
        let actions = self.proxy.event(event);
        self.check(actions);
    }

    /// Lets time pass, with timers and time-outs in their order.
    fn pass(&mut self, until: Nanos) {
        loop {
            let due = self.asked.iter().flat_map(|(id, r)| {
                r.tries.iter().enumerate().filter(|(_, t)| t.pending).map(move |(n, t)| (t.due, *id, n))
            });
            let due = due.min();
            let timer = self.timers.iter().copied().min();
            match (due, timer) {
                (Some((at, id, n)), t) if at <= until && t.is_none_or(|t| at <= t.0) => {
                    self.proxy.now = self.proxy.now.max(at);
                    self.finish(id, n, Status::Timeout);
                }
                (_, Some((at, token))) if at <= until => {
                    self.timers.retain(|t| *t != (at, token));
                    self.proxy.now = self.proxy.now.max(at);
                    let actions = self.proxy.event(Event::Timer(token));
                    self.check(actions);
                }
                _ => break,
            }
        }
        self.proxy.now = until;
        for (id, r) in &self.asked {
            assert!(r.over || r.deadline + 20 * MS >= until, "request {id} was never answered");
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask { class, key, remaining, write } => {
                let class = class % self.settings.classes.len() as u32;
                let id = self.asked.len() as u64 + 1;
                let deadline = self.proxy.now + remaining * MS;
                self.asked.insert(id, Asked { class: class as usize, deadline, over: false, tries: vec![] });
                let request =
                    Request { class, key: Some(key), remaining: remaining * MS, write, ..Request::default() };
                let (got, actions) = self.proxy.ask_as(request);
                assert_eq!(got, id);
                self.check(actions);
            }
            Step::End { which, status } => {
                let pending: Vec<(RequestId, usize)> = self
                    .asked
                    .iter()
                    .flat_map(|(id, r)| {
                        r.tries.iter().enumerate().filter(|(_, t)| t.pending).map(move |(n, _)| (*id, n))
                    })
                    .collect();
                if let Some((id, n)) = pending.get(which % pending.len().max(1)) {
                    self.finish(*id, *n, ENDS[status]);
                }
            }
            Step::Pass { ms } => self.pass(self.proxy.now + ms * MS),
            Step::Change { server, state } => {
                let state = [ServerState::Ready, ServerState::Draining, ServerState::Removed][state];
                let changed = ServerEntry { state, ..entry(server) };
                self.list.insert(changed.server, changed.clone());
                let actions = self.proxy.list(ListKind::Delta, vec![changed]);
                self.check(actions);
            }
            Step::Leave { which } => {
                let open: Vec<RequestId> =
                    self.asked.iter().filter(|(_, r)| !r.over).map(|(id, _)| *id).collect();
                if let Some(id) = open.get(which % open.len().max(1)) {
                    self.asked.get_mut(id).expect("asked").over = true;
                    let actions = self.proxy.event(Event::Abandoned(*id));
                    self.check(actions);
                }
            }
        }
    }
}

fn hold(settings: Settings) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&proptest::collection::vec(step(), 1..120), |steps| {
        let mut world = World::new(settings.clone());
        steps.into_iter().for_each(|s| world.step(s));
        world.pass(world.proxy.now + 5 * SECOND);
        Ok(())
    });
    run.expect("the rules hold");
}

fn classes() -> Settings {
    let mut s = settings();
    let base = s.classes[0].clone();
    let keyed = |group| Class { retry_safety: RetrySafety::Keyed, dedup_scope: group, ..base.clone() };
    s.classes.push(keyed(DedupScope::All));
    s.classes.push(keyed(DedupScope::Cell));
    s.classes.push(Class { retry_safety: RetrySafety::Unsafe, ..base.clone() });
    s
}

#[test]
fn rules_hold_with_second_copies() {
    hold(classes());
}

#[test]
fn rules_hold_with_one_attempt_at_a_time_and_an_asked_list() {
    hold(Settings { hedging: false, poll_discovery: true, allow_cancel: false, ..classes() });
}

#[test]
fn rules_hold_aside() {
    hold(Settings { cache_aside: true, origin_kind: Some(0), ..classes() });
    hold(Settings { cache_aside: true, origin_kind: Some(1), max_attempts: 2, ..classes() });
}
