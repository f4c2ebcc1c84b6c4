//! The discovery client: long polling over HTTP for the list of cache nodes.
//!
//! `freshness` schedules the polls; this module sends them and parses their responses. Each poll has a connection and a
//! deadline of its own. Any failure, including a list that can't be parsed, ends in [`PollResult::Failed`]: the current
//! list stays in force, and the next poll is scheduled.

mod http;
mod list;
mod poll;
mod versions;

#[cfg(test)]
pub use list::Host;
pub use list::{read_list, state_name, ListError, ListUpdate, TopologyNames};

use super::config::Config;
use calicosaddle::api::Nanos;
use control::message::DiscoveryCalls;
use freshness::{PollConfig, PollScheduler};
use mio::{Registry, Token};
use poll::{Call, Poll, PollFailure};
use std::net::SocketAddr;
use versions::ListVersion;

const MS: Nanos = 1_000_000;
/// The maximum number of polls in flight: the latest one, and earlier ones that have not been answered.
pub const MAX_POLLS: usize = 4;
/// The maximum body size is the memory limit divided by this: a body is held several times over while it is parsed, ...
const BODY_MEMORY_DIVISOR: u64 = 16;
/// ... but it is at least this many bytes, enough for about 4,000 cache nodes in indented JSON.
const MIN_BODY_LIMIT_BYTES: usize = 1 << 20;

/// The result of a poll.
#[derive(Debug, PartialEq)]
pub enum PollResult {
    /// A list was received.
    Update(ListUpdate),
    /// The poll failed, or the watch has ended.
    Failed(ListError),
}

/// The discovery client: the latest poll, and earlier ones that have been replaced but may still be answered.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    names: TopologyNames,
    scheduler: PollScheduler,
    version: ListVersion,
    /// When this client was created, at the start of the process.
    started_at: Nanos,
    /// When discovery last responded with a valid list.
    updated_at: Option<Nanos>,
    /// Calls by their result.
    calls: DiscoveryCalls,
    /// Calls that have failed since the last answer, and when the first of them did.
    failures: Option<(u64, Nanos)>,
    /// Until when the list did not have the changes of the last response.
    unlisted_until: Option<Nanos>,
    tokens: [Token; MAX_POLLS],
    /// The maximum size of a response body, in bytes.
    max_body: usize,
    latest: Option<Poll>,
    /// The replaced polls, oldest first.
    replaced: Vec<Poll>,
}

impl Discovery {
    /// Creates a client that has sent nothing yet; `version` is that of the list already known.
    pub fn new(config: &Config, version: Option<u64>, now: Nanos, tokens: [Token; MAX_POLLS]) -> Self {
        Discovery {
            address: config.discovery,
            names: config.topology.clone(),
            scheduler: PollScheduler::new(PollConfig::from(&config.settings), config.seed, now),
            version: ListVersion::configured(version),
            started_at: now,
            updated_at: None,
            calls: DiscoveryCalls::default(),
            failures: None,
            unlisted_until: None,
            tokens,
            max_body: ((config.memory_mb << 20) / BODY_MEMORY_DIVISOR).max(MIN_BODY_LIMIT_BYTES as u64)
                as usize,
            latest: None,
            replaced: Vec::new(),
        }
    }

    /// Switches to discovery at another address. Polls in flight are dropped. The versions of two discovery
    /// services are not comparable, so the next poll requests the full list.
    pub fn change_address(&mut self, address: SocketAddr, now: Nanos) {
        (self.address, self.version, self.latest) = (address, ListVersion::configured(None), None);
        self.replaced.clear();
        self.scheduler.discovery_moved(now);
    }

    /// Applies new settings.
    pub fn configure(&mut self, config: PollConfig) {
        self.scheduler.configure(config);
    }

    /// The version of the list, and when discovery last responded with a valid list.
    pub fn last_list(&self) -> (Option<u64>, Option<Nanos>) {
        (self.version.get(), self.updated_at)
    }

    /// Calls since the start, by their result.
    pub fn calls(&self) -> DiscoveryCalls {
        self.calls
    }

    /// Until when the list did not have the changes of the last response; `None` if that is not known.
    pub fn unlisted_until(&self) -> Option<Nanos> {
        self.unlisted_until
    }

    /// When the next poll is due, or a transfer of one in flight.
    pub fn next_wakeup(&self) -> Nanos {
        let retries = self.replaced.iter().chain(&self.latest).filter_map(Poll::retry_at);
        retries.min().map_or(self.scheduler.next_wakeup(), |at| at.min(self.scheduler.next_wakeup()))
    }

    /// The token of a poll whose transfer is to be tried again by now.
    pub fn due_transfer(&self, now: Nanos) -> Option<Token> {
        let mut polls = self.replaced.iter().chain(&self.latest);
        polls.find(|poll| poll.retry_at().is_some_and(|at| at <= now)).map(|poll| poll.token)
    }

    /// Starts a poll if one is due. It replaces the one in flight, whose response is still read.
    pub fn start_due_poll(&mut self, registry: &Registry, now: Nanos) -> Option<PollResult> {
        if !self.scheduler.start_if_due(now) {
            return None;
        }
        self.calls.silent += u64::from(self.latest.is_some());
        self.start_poll(registry, None, now).err().map(PollResult::Failed)
    }

    /// Starts a poll: with a `wait` a long poll, otherwise one that is answered at once. If that fails, the next poll is
    /// scheduled.
    fn start_poll(&mut self, registry: &Registry, wait: Option<Nanos>, now: Nanos) -> Result<(), ListError> {
        // Without a free slot the latest poll is dropped, not the oldest: otherwise no poll would live long enough for a
        // slow discovery to respond.
        self.replaced.extend(self.latest.take().filter(|_| self.replaced.len() + 2 <= MAX_POLLS));
        let poll = self.open_poll(registry, wait, now);
        self.latest = Some(poll.map_err(|failure| self.latest_failed(failure, now))?);
        Ok(())
    }

    /// Has the next poll scheduled after the failure of the latest one, and returns what was wrong.
    fn latest_failed(&mut self, failure: PollFailure, now: Nanos) -> ListError {
        let (failed_before, since) = self.failures.unwrap_or((0, now));
        self.failures = Some((failed_before + 1, since));
        match failure {
            PollFailure::NotMade(error) => {
                self.calls.not_made += 1;
                self.scheduler.call_not_made(now);
                error
            }
            PollFailure::Refused(error) => {
                self.calls.refused += 1;
                self.scheduler.poll_failed(now);
                error
            }
            PollFailure::AnswerLost { error, has_begun } => {
                self.calls.answers_lost += 1;
                self.scheduler.answer_lost(now, has_begun);
                error
            }
        }
    }

    /// Opens a connection for a request: for the updates since the known list version, or for the full list.
    fn open_poll(&self, registry: &Registry, wait: Option<Nanos>, now: Nanos) -> Result<Poll, PollFailure> {
        let in_use =
            |token: &Token| self.replaced.iter().chain(&self.latest).any(|poll| poll.token == *token);
        let token = self.tokens.into_iter().find(|token| !in_use(token)).unwrap_or(self.tokens[0]);
        let call = Call { address: self.address, since: self.version.since(), wait, max_body: self.max_body };
        Poll::open(registry, token, &call, now)
    }

    /// Reads and writes the poll of a token as far as its socket allows, and returns its result once there is one. The
    /// failure of a replaced poll is not reported.
    pub fn handle_ready(&mut self, registry: &Registry, token: Token, now: Nanos) -> Option<PollResult> {
        let is_latest = self.latest.as_ref().is_some_and(|poll| poll.token == token);
        let (update, was_long) = if is_latest {
            let response = self.latest.as_mut()?.advance(&self.names, now)?;
            let poll = self.latest.take()?;
            match response.and_then(|update| self.check_version(update, poll.began_at, now)) {
                Ok(update) => (update, poll.is_long),
                Err(failure) => return Some(PollResult::Failed(self.latest_failed(failure, now))),
            }
        } else {
            let index = self.replaced.iter().position(|poll| poll.token == token)?;
            let response = self.replaced[index].advance(&self.names, now)?;
            self.replaced.remove(index);
            // An older list is ignored: a later poll has delivered a newer one since.
            let update =
                response.ok().filter(|u| self.version.get().is_none_or(|known| u.version >= known))?;
            (update, true)
        };
        if self.updated_at.is_none() {
            let elapsed_ms = now.saturating_sub(self.started_at) / MS;
            eprintln!("discovery: first list {elapsed_ms} ms after the start, version {}", update.version);
        }
        self.calls.answered += 1;
        if let Some((failed, since)) = self.failures.take() {
            let elapsed_ms = now.saturating_sub(since) / MS;
            eprintln!("discovery: answered after {failed} failed calls in {elapsed_ms} ms");
        }
        if self.version.get().is_some_and(|current| update.version < current) {
            // What earlier calls still bring is of the versions before.
            eprintln!("discovery: versions begin again at {}", update.version);
            self.replaced.clear();
        }
        let is_newer = self.version.get() != Some(update.version);
        // Discovery answers a long poll as soon as there is something newer. A replaced poll may be answered late.
        let is_prompt = is_latest && was_long;
        self.unlisted_until = self.updated_at.map(|before| if is_prompt { now } else { before });
        self.version.replace(update.version, now);
        self.updated_at = Some(now);
        if let Some(wait) = self.scheduler.list_received(now, is_latest) {
            // The next long poll starts at once: discovery counts a poll more than 200 ms after the last response as a
            // new watch. The list just received is used even if it can't start.
            let _ = self.start_poll(registry, Some(wait), now).inspect_err(|e| eprintln!("discovery: {e}"));
        }
        // A long poll that ended without changes is not reported. The response to the first poll always is: it shows
        // that the watch has started.
        let reported = !was_long || is_newer || update.full || !update.hosts.is_empty();
        reported.then_some(PollResult::Update(update))
    }

    /// Rejects a list that may not take the place of the one in force.
    fn check_version(
        &mut self,
        update: ListUpdate,
        call_began: Nanos,
        now: Nanos,
    ) -> Result<ListUpdate, PollFailure> {
        if self.version.accepts(&update, call_began, now) {
            return Ok(update);
        }
        let error = ListError::Older(update.version, self.version.get().unwrap_or_default());
        Err(PollFailure::AnswerLost { error, has_begun: true })
    }

    /// Replaces a poll whose response has stalled, and drops replaced polls that are past their deadline.
    pub fn expire_polls(&mut self, registry: &Registry, now: Nanos) -> Option<PollResult> {
        self.replaced.retain(|poll| !poll.has_expired(now));
        if self.latest.as_ref().is_some_and(|poll| poll.has_stalled(now)) {
            self.scheduler.start_replacement(now);
            return self.start_poll(registry, None, now).err().map(PollResult::Failed);
        }
        None
    }
}
