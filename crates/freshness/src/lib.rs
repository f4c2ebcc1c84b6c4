//! Schedules the calls of a proxy to discovery, so that every update is received before it takes effect.
//!
//! A box that is announced as leaving may get no new requests once the announcement counts as notified and the drain
//! grace of the settings is over, whether or not the update arrived. So there is a latest moment by which this proxy
//! must have received what it may have missed, and all calls are scheduled backwards from it ([`PollScheduler`]). The
//! crate has no sockets and no clock: the caller passes the time in, and random numbers come from a seed. Times are
//! nanoseconds.
//!
//! When a missed update counts as notified, by the operators' specification:
//!
//! | lists are | state | a missed update counts as notified |
//! | --- | --- | --- |
//! | either | a call stopped answering | 6 s after it began, or 2 s after its wait if that is later |
//! | either | discovery has moved (SIGHUP) | 4 s after the signal |
//! | polled | no call has been answered since the start | 6 s after discovery had it, at the latest: the list that a process starts with is of unknown age |
//! | polled | an answer was written | at once, whether or not it can be read |
//! | polled | a call failed | 6 s after discovery had it and could be reached, at the latest |
//! | polled | no watch is open | once the settings' maximum poll interval has passed since the last call, four times that if the call failed |
//! | pushed | no watch is open, or the process has just started | at once: the agent on this machine has it |

mod subscription;

use calicosaddle::api::Settings;
pub use subscription::Subscription;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// What a call that does not answer has missed counts as notified this long after the call began, ...
const NOTIFIED_AFTER_SILENT_CALL: Nanos = 6 * SECOND;
/// ... or this long after the end of its wait, if that is later.
const NOTIFIED_AFTER_WAIT: Nanos = 2 * SECOND;
/// What discovery has counts as notified this long after it could be reached, whatever failed before.
const NOTIFIED_AFTER_REACHABLE: Nanos = 6 * SECOND;
/// The updates of a discovery that has moved count as notified this long after SIGHUP.
const NOTIFIED_AFTER_MOVE: Nanos = 4 * SECOND;
/// How long a watch waits for an update where one discovery serves all proxies: a long wait saves it calls.
const WATCH_WAIT: Nanos = 10 * SECOND;
/// The same where an agent on this machine answers: calls to it cost nothing, and a short wait detects silence sooner.
const WATCH_WAIT_PUSHED: Nanos = 2 * SECOND;
/// A watch without an answer this long after its wait counts as silent.
const WATCH_GRACE: Nanos = 300 * MS;
/// The timeout of a call that does not wait: it may be queued for 2 s at a discovery that all proxies call.
const QUEUED_CALL_TIMEOUT: Nanos = 2_200 * MS;
/// The shortest time between two calls where one discovery serves all proxies.
const MIN_CALL_INTERVAL: Nanos = 200 * MS;
/// The planned rate of calls of all proxies together at one discovery after they started, or failed, at the same time.
const FLEET_CALLS_PER_SECOND: Nanos = 100;
/// The shortest and the longest period over which these calls are spread. The longest one takes precedence over the planned
/// rate: discovery accepts a call from each proxy within 2 to 8 s, however many there are, and queues calls for up to 2 s.
const MIN_FLEET_SPREAD: Nanos = 400 * MS;
const MAX_FLEET_SPREAD: Nanos = 3_500 * MS;
/// The planned rate of retries of all proxies together while discovery is down.
const FLEET_RETRIES_PER_SECOND: f64 = 105.0;
/// The longest delay after a failed call: another one may be queued for its whole timeout and still be answered before
/// an update counts as notified.
const MAX_RETRY_DELAY: Nanos = NOTIFIED_AFTER_REACHABLE - QUEUED_CALL_TIMEOUT - 300 * MS;
/// The bounds of the least part of a backoff that a random delay takes; the part is larger in larger fleets.
const MIN_BACKOFF_PART: f64 = 0.2;
const MAX_MIN_BACKOFF_PART: f64 = 0.95;
/// The least part of the longest step that a random delay takes.
const MIN_STEP_PART: f64 = 0.75;
/// A backoff is doubled at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The longest backoff, as a divisor of the maximum poll interval.
const MAX_BACKOFF_DIVISOR: Nanos = 3;
/// The longest backoff is at least this, however short the maximum poll interval is.
const MIN_LONGEST_BACKOFF: Nanos = SECOND;
/// Calls that are repeated at once, before backoffs begin, when their answers were lost: what was in them counts as notified.
const MAX_PROMPT_REPEATS: u32 = 4;
/// Each of these calls begins within this part of the drain grace.
const PROMPT_REPEATS_PER_DRAIN_GRACE: Nanos = 5;
/// The delay after an error of this machine, until a call can be tried that discovery has seen nothing of.
const LOCAL_RETRY_DELAY: Nanos = 10 * MS;
/// Attempts to reach an agent on this machine within one drain grace, and the bounds of the time between two.
const AGENT_ATTEMPTS_PER_DRAIN_GRACE: Nanos = 5;
const MIN_AGENT_RETRY_INTERVAL: Nanos = 20 * MS;
const MAX_AGENT_RETRY_INTERVAL: Nanos = 100 * MS;
/// Increment of the state of SplitMix64, the generator of random numbers.
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The part of the settings that determines when calls are made.
#[derive(Clone, Copy, Debug)]
pub struct PollConfig {
    /// Lists are pushed to an agent on this machine; otherwise all proxies poll one discovery.
    pub pushed: bool,
    /// The number of proxies.
    pub proxies: u32,
    /// The number of this proxy among them, from 0.
    pub index: u32,
    /// Without a watch, the list must be requested at least this often.
    pub max_poll_interval: Nanos,
    /// A box gets no new requests later than this after its drain counts as notified.
    pub drain_grace: Nanos,
}

impl From<&Settings> for PollConfig {
    fn from(settings: &Settings) -> PollConfig {
        PollConfig {
            pushed: !settings.poll_discovery,
            proxies: settings.proxy_count,
            index: settings.proxy_index,
            max_poll_interval: settings.discovery_poll_interval,
            drain_grace: settings.drain_grace,
        }
    }
}

impl PollConfig {
    /// The latest time after its start at which a process makes its first call. Until that is answered, the process
    /// works with a list of unknown age.
    pub fn first_call_spread(&self) -> Nanos {
        if self.pushed {
            return 0;
        }
        self.fleet_spread().clamp(MIN_FLEET_SPREAD, MAX_FLEET_SPREAD)
    }

    /// The period over which a call of each proxy makes [`FLEET_CALLS_PER_SECOND`].
    fn fleet_spread(&self) -> Nanos {
        Nanos::from(self.proxies) * SECOND / FLEET_CALLS_PER_SECOND
    }
}

/// Whether a call is in progress, and of which kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No call is in progress.
    Idle { next_call: Nanos },
    /// A call that does not wait is in progress; without an answer by `timeout`, another one begins beside it.
    Polling { began: Nanos, timeout: Nanos },
    /// A call that waits for an update until `wait_end` is in progress; the same holds for its `timeout`.
    Watching { began: Nanos, wait_end: Nanos, timeout: Nanos },
}

/// Schedules the calls of one proxy. The host makes a call whenever [`PollScheduler::start_if_due`] says so, and reports
/// the result.
#[derive(Debug)]
pub struct PollScheduler {
    config: PollConfig,
    random_state: u64,
    state: State,
    /// Consecutive calls that failed or did not answer.
    failures: u32,
    /// Since the last list, the calls of all proxies have been spread by [`PollScheduler::spread_delay`].
    is_spread: bool,
    /// Calls repeated at once since the last list because their answers were lost.
    prompt_repeats: u32,
    /// The earliest moment at which an update that this proxy may have missed counts as notified. Unused where lists are
    /// pushed: failed calls are repeated so soon there ([`PollScheduler::agent_retry_interval`]) that the time does not
    /// matter.
    missed_update_deadline: Option<Nanos>,
}

impl PollScheduler {
    /// The scheduler of a process that has just started, with a list that may be outdated.
    pub fn new(config: PollConfig, seed: u64, now: Nanos) -> Self {
        let mut scheduler = PollScheduler {
            config,
            random_state: seed,
            state: State::Idle { next_call: now },
            failures: 0,
            is_spread: true,
            prompt_repeats: 0,
            missed_update_deadline: None,
        };
        scheduler.state = State::Idle { next_call: now + scheduler.spread_delay(config.first_call_spread()) };
        scheduler
    }

    /// Replaces the configuration. A call or a delay in progress keeps its times.
    pub fn configure(&mut self, config: PollConfig) {
        self.config = config;
    }

    /// When [`PollScheduler::start_if_due`] is to be called next.
    pub fn next_wakeup(&self) -> Nanos {
        match self.state {
            State::Idle { next_call } => next_call,
            State::Polling { timeout, .. } | State::Watching { timeout, .. } => timeout,
        }
    }

    /// Starts a call that does not wait if one is due, and returns whether it did; the host then makes the call. A call
    /// still in progress counts as silent from then on, but the host continues to read its connection: an answer counts
    /// as notified once discovery has written it.
    pub fn start_if_due(&mut self, now: Nanos) -> bool {
        let due = self.next_wakeup() <= now;
        if due {
            self.start_replacement(now);
        }
        due
    }

    /// Starts a call that does not wait in place of the one in progress, whose answer has stalled midway.
    pub fn start_replacement(&mut self, now: Nanos) {
        match self.state {
            State::Idle { .. } => {}
            State::Polling { began, .. } => {
                self.failures += 1;
                self.note_missed_update(began + NOTIFIED_AFTER_SILENT_CALL);
            }
            State::Watching { began, wait_end, .. } => {
                self.note_missed_update(
                    (began + NOTIFIED_AFTER_SILENT_CALL).max(wait_end + NOTIFIED_AFTER_WAIT),
                );
            }
        }
        self.state = State::Polling { began: now, timeout: now + self.call_timeout(now) };
    }

    /// A call returned the list in force or a newer one. `latest` is false for a call that was replaced by a later one.
    /// Returns the wait of the watch that is to begin now, if any.
    pub fn list_received(&mut self, now: Nanos, latest: bool) -> Option<Nanos> {
        if !latest && matches!(self.state, State::Watching { .. }) {
            return None;
        }
        (self.failures, self.is_spread, self.prompt_repeats) = (0, false, 0);
        self.missed_update_deadline = None;
        let wait = if self.config.pushed { WATCH_WAIT_PUSHED } else { WATCH_WAIT };
        self.state = State::Watching { began: now, wait_end: now + wait, timeout: now + wait + WATCH_GRACE };
        Some(wait)
    }

    /// Discovery could not be reached for the latest call, or turned it away.
    pub fn poll_failed(&mut self, now: Nanos) {
        self.failures += 1;
        let delay = if self.config.pushed {
            self.agent_retry_interval()
        } else {
            self.backoff().min(self.random_part(self.longest_step(now), MIN_STEP_PART))
        };
        self.state = State::Idle { next_call: now + delay };
    }

    /// Discovery had the latest call, and no usable answer could be read: the connection broke, or what came is no list. What discovery
    /// may have written counts as notified, so the call is repeated within the drain grace. `has_begun` says that a part of the
    /// answer came.
    ///
    /// All watches break at once when discovery goes down. Unless an answer had begun, only proxies that are so few that they can all
    /// repeat their calls within the grace do so.
    pub fn answer_lost(&mut self, now: Nanos, has_begun: bool) {
        let longest_spread = self.config.drain_grace / PROMPT_REPEATS_PER_DRAIN_GRACE;
        let spread = self.config.fleet_spread();
        let is_prompt = self.prompt_repeats < MAX_PROMPT_REPEATS && (has_begun || spread <= longest_spread);
        if self.config.pushed || !is_prompt {
            self.poll_failed(now);
            return;
        }
        self.prompt_repeats += 1;
        self.is_spread = true;
        let delay = self.spread_delay(spread.min(longest_spread)).min(self.longest_step(now));
        self.state = State::Idle { next_call: now + delay };
    }

    /// The latest call could not be made for an error of this machine. Discovery has seen nothing of it, and it is no failure.
    pub fn call_not_made(&mut self, now: Nanos) {
        self.state = State::Idle { next_call: now + LOCAL_RETRY_DELAY };
    }

    /// The address of discovery has changed; the calls in progress are over.
    pub fn discovery_moved(&mut self, now: Nanos) {
        (self.failures, self.prompt_repeats) = (0, 0);
        self.missed_update_deadline = Some(now + NOTIFIED_AFTER_MOVE);
        self.state = State::Idle { next_call: now };
    }

    /// Records that an update missed by now would count as notified at this time; the earliest such time is kept.
    fn note_missed_update(&mut self, notified_at: Nanos) {
        self.missed_update_deadline =
            Some(self.missed_update_deadline.map_or(notified_at, |earliest| earliest.min(notified_at)));
    }

    /// The longest time that the next call, or the delay before it, may take: half of the time left until a missed
    /// update counts as notified, so that several calls fit. Past that moment the limit grows with the time since then,
    /// which makes the calls back off.
    fn longest_step(&self, now: Nanos) -> Nanos {
        self.missed_update_deadline
            .map_or(Nanos::MAX, |deadline| (deadline.abs_diff(now) / 2).max(MIN_CALL_INTERVAL))
    }

    /// How long a call that does not wait may go without an answer before another one begins.
    fn call_timeout(&self, now: Nanos) -> Nanos {
        if self.config.pushed {
            self.agent_retry_interval() * 3 / 2
        } else {
            QUEUED_CALL_TIMEOUT.min(self.longest_step(now))
        }
    }

    /// The time between two attempts to reach an agent on this machine: several within the drain grace.
    fn agent_retry_interval(&self) -> Nanos {
        (self.config.drain_grace / AGENT_ATTEMPTS_PER_DRAIN_GRACE)
            .clamp(MIN_AGENT_RETRY_INTERVAL, MAX_AGENT_RETRY_INTERVAL)
    }

    /// The delay after a failed call where one discovery serves all proxies. The first one since a list spreads the
    /// calls, which may all have failed at once. The later ones are random: discovery rejects the last calls of a burst,
    /// and with equal delays these would come from the same proxies each time.
    fn backoff(&mut self) -> Nanos {
        let spread = self.config.first_call_spread();
        if !std::mem::replace(&mut self.is_spread, true) {
            return self.spread_delay(spread);
        }
        let longest =
            (self.config.max_poll_interval / MAX_BACKOFF_DIVISOR).clamp(MIN_LONGEST_BACKOFF, MAX_RETRY_DELAY);
        let backoff = (spread << self.failures.min(MAX_BACKOFF_DOUBLINGS)).min(longest);
        self.random_part(backoff, self.min_backoff_part(longest))
    }

    /// The least part of a backoff that a random delay takes. It is chosen so that all proxies together make
    /// [`FLEET_RETRIES_PER_SECOND`] once their backoffs have reached `longest`.
    fn min_backoff_part(&self, longest: Nanos) -> f64 {
        let mean_seconds = f64::from(self.config.proxies) / FLEET_RETRIES_PER_SECOND;
        let longest_seconds = longest as f64 / SECOND as f64;
        (2.0 * mean_seconds / longest_seconds - 1.0).clamp(MIN_BACKOFF_PART, MAX_MIN_BACKOFF_PART)
    }

    /// A delay within `spread`. Each proxy has its own part of it, so that calls which all proxies, or any of them, make
    /// after this delay from one moment come at an even rate.
    fn spread_delay(&mut self, spread: Nanos) -> Nanos {
        let proxies = Nanos::from(self.config.proxies.max(1));
        let part = spread / proxies;
        Nanos::from(self.config.index) % proxies * part + self.random_part(part, 0.0)
    }

    /// A random part of a duration, from `least` of it up to all of it.
    fn random_part(&mut self, duration: Nanos, least: f64) -> Nanos {
        (duration as f64 * (least + (1.0 - least) * self.random())) as Nanos
    }

    /// The next random number, from 0 (inclusive) to 1 (exclusive), by SplitMix64.
    fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(SPLITMIX64_INCREMENT);
        let mut x = self.random_state;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
