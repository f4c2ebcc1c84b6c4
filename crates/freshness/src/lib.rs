//! When a proxy calls discovery, so that it has heard in time what counts as told to it.
//!
//! A box that is announced as leaving may get nothing new once its announcement counts as told and the grace of the
//! settings is over, whether or not the news arrived. So there is a latest moment by which this proxy must have heard
//! what it may have missed, and all calls are planned backwards from it ([`PollScheduler`]). No sockets, no clock: time is
//! handed in, chance comes from a seed. Times are nanoseconds.
//!
//! What counts as told when, by the operators' pages:
//!
//! | lists are | state | what is missed counts as told |
//! | --- | --- | --- |
//! | either | a call fell silent | 6 s later, and 2 s after its wait if that is later |
//! | either | discovery has moved (SIGHUP) | 4 s later |
//! | asked for | no watch is open | once the settings' time for asking has passed since the last call, four times that if it failed |
//! | pushed | no watch is open, or the process has just begun | at once: the agent on this machine has it |

mod subscription;

use calicosaddle::api::Settings;
pub use subscription::Subscription;

/// Time, or a span of it, in nanoseconds.
pub type Nanos = u64;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// What a call misses that has fallen silent counts as told so long after it did, ...
const TOLD: Nanos = 6 * SECOND;
/// ... or so long after its wait was over, if that is later.
const TOLD_AFTER_WAIT: Nanos = 2 * SECOND;
/// What a discovery that has moved has to tell counts as told so long after SIGHUP.
const TOLD_AFTER_MOVE: Nanos = 4 * SECOND;
/// How long a call of a watch waits for news: where one discovery answers all proxies a long wait spares it calls, ...
const WAIT: Nanos = 10 * SECOND;
/// ... and where an agent on this machine does, whose answers cost nothing, a short one finds silence out sooner.
const WAIT_PUSHED: Nanos = 2 * SECOND;
/// A call whose answer has not come so long after its wait has fallen silent.
const SILENT: Nanos = 300 * MS;
/// A call that does not wait may stand for 2 s in the queue of a discovery that all proxies call.
const QUEUED: Nanos = 2_200 * MS;
/// Calls begin no sooner after one another than this where one discovery answers all proxies.
const SHORTEST: Nanos = 200 * MS;
/// Calls in a second that discovery is planned to take from all proxies together, where most of them start at once.
const CALLS: u64 = 50;

/// What the settings say.
#[derive(Clone, Copy, Debug)]
pub struct PollConfig {
    /// Lists are pushed to an agent on this machine (else one discovery is asked by all proxies).
    pub pushed: bool,
    /// How many proxies there are.
    pub proxies: u32,
    /// Without a watch the list must be asked for within this time.
    pub max_poll_interval: Nanos,
    /// Nothing new goes to a box later than this after its drain was told.
    pub drain_grace: Nanos,
}

impl From<&Settings> for PollConfig {
    fn from(s: &Settings) -> PollConfig {
        PollConfig {
            pushed: !s.poll_discovery,
            proxies: s.proxy_count,
            max_poll_interval: s.discovery_poll_interval,
            drain_grace: s.drain_grace,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No call is out.
    Resting { next: Nanos },
    /// A call that does not wait is out; if it has not answered by then, another one begins beside it.
    Asking { opened: Nanos, anew: Nanos },
    /// A call that waits for news is out; the same.
    Watching { opened: Nanos, over: Nanos, anew: Nanos },
}

/// Plans the calls of one proxy. Its host opens one whenever [`PollScheduler::start_if_due`] says so, and tells what became of it.
#[derive(Debug)]
pub struct PollScheduler {
    terms: PollConfig,
    random: u64,
    state: State,
    /// Calls in a row that failed or fell silent.
    failures: u32,
    /// The earliest moment at which something that this proxy may have missed counts as told. Where lists are pushed
    /// calls in trouble follow one another so closely ([`PollScheduler::often`]) that nothing is reckoned with it.
    owed: Option<Nanos>,
}

impl PollScheduler {
    /// A process that has just begun, with a list that may be old.
    pub fn new(terms: PollConfig, seed: u64, now: Nanos) -> Self {
        let state = State::Resting { next: now };
        let mut follower = PollScheduler { terms, random: seed, state, failures: 0, owed: None };
        if !terms.pushed {
            let fleet = follower.fleet();
            follower.state = State::Resting { next: now + follower.part_of(fleet, 0.2) };
        }
        follower
    }

    /// Other settings hold from now on.
    pub fn configure(&mut self, terms: PollConfig) {
        self.terms = terms;
    }

    /// When [`PollScheduler::start_if_due`] is to be asked next.
    pub fn next_wakeup(&self) -> Nanos {
        match self.state {
            State::Resting { next } => next,
            State::Asking { anew, .. } | State::Watching { anew, .. } => anew,
        }
    }

    /// True if a call that does not wait is to begin now. One that is out is silent then: what it may still say is to be
    /// listened for, since it counts as told when it is written.
    pub fn start_if_due(&mut self, now: Nanos) -> bool {
        let due = self.next_wakeup() <= now;
        if due {
            self.start_replacement(now);
        }
        due
    }

    /// The call that is out has stopped in the middle of its answer: another one begins now, as if it were due.
    pub fn start_replacement(&mut self, now: Nanos) {
        match self.state {
            State::Resting { .. } => {}
            State::Asking { opened, .. } => {
                self.failures += 1;
                self.owe(opened + TOLD);
            }
            State::Watching { opened, over, .. } => self.owe((opened + TOLD).max(over + TOLD_AFTER_WAIT)),
        }
        self.state = State::Asking { opened: now, anew: now + self.patience(now) };
    }

    /// A call has told the list in force or a newer one: the latest that began, or one that has been given up since. A
    /// call that waits so long for what comes next is to begin now, if any.
    pub fn list_received(&mut self, now: Nanos, latest: bool) -> Option<Nanos> {
        if !latest && matches!(self.state, State::Watching { .. }) {
            return None;
        }
        (self.failures, self.owed) = (0, None);
        let wait = if self.terms.pushed { WAIT_PUSHED } else { WAIT };
        self.state = State::Watching { opened: now, over: now + wait, anew: now + wait + SILENT };
        Some(wait)
    }

    /// The latest call was refused, reset, or told nothing that can be used.
    pub fn poll_failed(&mut self, now: Nanos) {
        self.failures += 1;
        let delay = if self.terms.pushed {
            self.often()
        } else {
            let most = (self.terms.max_poll_interval / 3).max(SECOND).max(self.fleet());
            let backoff = self.part_of((self.fleet() << self.failures.min(8)).min(most), 0.2);
            backoff.min(self.part_of(self.bound(now), 0.75))
        };
        self.state = State::Resting { next: now + delay };
    }

    /// Discovery is elsewhere from now on; the calls that were out are over.
    pub fn discovery_moved(&mut self, now: Nanos) {
        self.failures = 0;
        self.owed = Some(now + TOLD_AFTER_MOVE);
        self.state = State::Resting { next: now };
    }

    fn owe(&mut self, told: Nanos) {
        self.owed = Some(self.owed.map_or(told, |owed| owed.min(told)));
    }

    /// How long the next step may take at the most: half of what is left until something counts as told, so that several
    /// follow. Once it is too late, the more time has passed the less haste there is.
    fn bound(&self, now: Nanos) -> Nanos {
        self.owed.map_or(Nanos::MAX, |owed| (owed.abs_diff(now) / 2).max(SHORTEST))
    }

    /// How long a call that does not wait may be out before another one begins.
    fn patience(&self, now: Nanos) -> Nanos {
        if self.terms.pushed {
            self.often() * 3 / 2
        } else {
            QUEUED.min(self.bound(now))
        }
    }

    /// The time between two tries to reach an agent on this machine: several within the grace.
    fn often(&self) -> Nanos {
        (self.terms.drain_grace / 5).clamp(20 * MS, 100 * MS)
    }

    /// How long a proxy may go without a call before the list counts as known without it, some time to spare.
    fn latest_call(&self) -> Nanos {
        self.terms.max_poll_interval.max(2 * SECOND) * 4 / 5
    }

    /// The time over which the calls of all proxies are spread, so that they make about [`CALLS`] a second.
    fn fleet(&self) -> Nanos {
        (Nanos::from(self.terms.proxies) * SECOND / CALLS).clamp(400 * MS, self.latest_call())
    }

    /// By chance at least so large a part of a span, and at the most all of it.
    fn part_of(&mut self, span: Nanos, least: f64) -> Nanos {
        (span as f64 * (least + (1.0 - least) * self.chance())) as Nanos
    }

    /// A number from 0 up to 1.
    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.random;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
