//! The address table of a box: its listed addresses, and the health of each.

use crate::{Address, Family, Nanos, MAX_ADDRESSES};

const MS: Nanos = 1_000_000;
/// How long a failed connection ejects an address; doubled with each further consecutive failure.
const REFUSED_EJECTION: Nanos = 250 * MS;
/// The same for a request that was left unanswered.
const SILENT_EJECTION: Nanos = 1_000 * MS;
/// The longest ejection.
const MAX_EJECTION: Nanos = 60_000 * MS;
/// Ejections vary randomly by this part, so that proxies do not return to an address at the same moment.
const EJECTION_JITTER: f64 = 0.25;
/// A half-open probe without an outcome ends after this time.
const PROBE_TIMEOUT: Nanos = 5_000 * MS;
/// A cancelled request shows that an address is silent if it waited at least this long, and longer than answers of this
/// box take.
const MIN_CANCELLED_WAIT: Nanos = 50 * MS;
/// This many consecutive cancelled requests that each waited for the mean answer time and a deviation show the same.
const CANCELLED_IN_A_ROW: u32 = 3;
/// How long the record of an address that left the list is kept, since lists flap.
pub const REMOVED_RETENTION: Nanos = 120_000 * MS;
/// The delay before the next connection attempt to an address without a measured handshake: RFC 8305's.
const DEFAULT_ATTEMPT_DELAY: Nanos = 250 * MS;
/// The shortest and the longest delay before the next connection attempt.
const ATTEMPT_DELAY_BOUNDS: [Nanos; 2] = [10 * MS, 250 * MS];
/// An ejection is doubled at most this many times, which already exceeds [`MAX_EJECTION`].
const MAX_EJECTION_DOUBLINGS: u32 = 10;
/// The delay before the next connection attempt is the mean handshake time and this many deviations, as in TCP's
/// retransmission timeout (RFC 6298).
const ATTEMPT_DELAY_DEVIATIONS: Nanos = 4;
/// A request is left unanswered for long if it waited for the mean answer time and this many deviations.
const LONG_WAIT_DEVIATIONS: Nanos = 8;
/// The same for one of several consecutive cancelled requests.
const CANCELLED_WAIT_DEVIATIONS: Nanos = 1;

/// Identifies an address among all tables of a process. A later table of the same box has other ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AddressId {
    table: u64,
    entry: u32,
}

/// An address and what is known of its health.
#[derive(Clone, Debug)]
struct Entry {
    id: AddressId,
    address: Address,
    /// The smoothed mean and deviation of the duration of handshakes.
    handshake: Option<(Nanos, Nanos)>,
    consecutive_failures: u32,
    /// The last failure was a connection that was not established.
    refused: bool,
    ejected_until: Nanos,
    /// When the half-open probe in progress began.
    probe_began: Option<Nanos>,
    /// Consecutive requests that were cancelled before an answer came.
    cancelled: u32,
    last_answer: Option<Nanos>,
    /// When it left the list; `None` while it is listed.
    removed_at: Option<Nanos>,
}

/// The addresses of one box.
#[derive(Clone, Debug)]
pub struct AddressTable {
    /// The number of this table, which its ids contain.
    number: u64,
    entries: Vec<Entry>,
    last_entry: u32,
    /// The family that answered last.
    preferred_family: Option<Family>,
    /// The smoothed mean and deviation of the time that the box takes to answer.
    answer_time: Option<(Nanos, Nanos)>,
    rng: fastrand::Rng,
}

impl AddressTable {
    /// An empty table. No two tables of a process may have the same number.
    pub fn new(number: u64, seed: u64) -> Self {
        AddressTable {
            number,
            entries: Vec::new(),
            last_entry: 0,
            preferred_family: None,
            answer_time: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adopts a list in its order. The health of an address is kept, also through a short absence from the list.
    /// Returns whether anything but the order changed.
    pub fn update(&mut self, list: &[Address], now: Nanos) -> bool {
        let list = &list[..list.len().min(MAX_ADDRESSES)];
        let same = self.len() == list.len() && list.iter().all(|a| self.listed().any(|e| e.address == *a));
        let mut old = std::mem::take(&mut self.entries);
        for address in list {
            let at = old.iter().position(|e| e.address == *address);
            let entry = match at {
                Some(at) => Entry { removed_at: None, ..old.swap_remove(at) },
                None => {
                    self.last_entry += 1;
                    Entry {
                        id: AddressId { table: self.number, entry: self.last_entry },
                        address: address.clone(),
                        handshake: None,
                        consecutive_failures: 0,
                        refused: false,
                        ejected_until: 0,
                        probe_began: None,
                        cancelled: 0,
                        last_answer: None,
                        removed_at: None,
                    }
                }
            };
            self.entries.push(entry);
        }
        // Of the removed addresses the latest are kept, up to the number of addresses that a box may have.
        for entry in &mut old {
            entry.removed_at.get_or_insert(now);
        }
        old.retain(|e| e.removed_at.is_some_and(|at| now < at + REMOVED_RETENTION));
        old.sort_by_key(|e| std::cmp::Reverse(e.removed_at));
        old.truncate(MAX_ADDRESSES);
        self.entries.extend(old);
        !same
    }

    /// The entries of the listed addresses, in the list's order.
    fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|e| e.removed_at.is_none())
    }

    fn get(&self, id: AddressId) -> Option<&Entry> {
        self.entries.iter().find(|e| e.id == id)
    }

    fn get_mut(&mut self, id: AddressId) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|e| e.id == id)
    }

    /// The number of listed addresses.
    pub fn len(&self) -> usize {
        self.listed().count()
    }

    /// Whether no address is listed.
    pub fn is_empty(&self) -> bool {
        self.listed().next().is_none()
    }

    /// The number of addresses with a record, removed ones included; at most twice [`MAX_ADDRESSES`].
    pub fn retained_len(&self) -> usize {
        self.entries.len()
    }

    /// The listed addresses, in the list's order.
    pub fn addresses(&self) -> impl Iterator<Item = &Address> {
        self.listed().map(|e| &e.address)
    }

    /// The address of this id, while it is listed.
    pub fn address(&self, id: AddressId) -> Option<&Address> {
        self.get(id).filter(|e| e.removed_at.is_none()).map(|e| &e.address)
    }

    /// Whether new requests may use the address: it is listed, and is either healthy or the only one.
    pub fn usable(&self, id: AddressId) -> bool {
        match self.get(id) {
            Some(e) if e.removed_at.is_none() => e.consecutive_failures == 0 || self.len() == 1,
            _ => false,
        }
    }

    /// The order in which to try addresses for a new connection, for a read or for a write.
    ///
    /// Healthy addresses come first, families alternating, beginning with the family that answered last. A read puts
    /// one address whose ejection has expired before them as a half-open probe, one probe at a time; a write does so
    /// only if no address is healthy. Other ejected addresses are left out. Where all are ejected the order is empty
    /// until an ejection expires, so that a dead box costs few connections; but silence alone never removes the last
    /// address, since a slow box is silent as well. A single address is always tried: whether to avoid its box is
    /// decided elsewhere.
    pub fn connection_order(&mut self, now: Nanos, write: bool) -> Vec<AddressId> {
        if self.len() == 1 {
            return self.listed().map(|e| e.id).collect();
        }
        for entry in &mut self.entries {
            entry.probe_began = entry.probe_began.filter(|at| now < at + PROBE_TIMEOUT);
        }
        let mut order = self.healthy_by_family();
        let may_be_probed =
            |e: &&Entry| e.consecutive_failures > 0 && e.ejected_until <= now && e.probe_began.is_none();
        let probe = if write && !order.is_empty() || self.listed().any(|e| e.probe_began.is_some()) {
            None
        } else {
            self.listed().filter(may_be_probed).min_by_key(|e| e.consecutive_failures).map(|e| e.id)
        };
        if let Some(entry) = probe.and_then(|id| self.get_mut(id)) {
            entry.probe_began = Some(now);
            order.insert(0, entry.id);
        }
        if order.is_empty() {
            let silent = self.listed().filter(|e| !e.refused).min_by_key(|e| e.ejected_until);
            order.extend(silent.map(|e| e.id));
        }
        order
    }

    /// The addresses without a failure, families alternating.
    fn healthy_by_family(&self) -> Vec<AddressId> {
        let healthy: Vec<&Entry> = self.listed().filter(|e| e.consecutive_failures == 0).collect();
        let mut families: Vec<Family> = Vec::new();
        let listed = healthy.iter().map(|e| e.address.family());
        let preferred = self.preferred_family.into_iter().filter(|f| listed.clone().any(|l| l == *f));
        for family in preferred.chain(listed.clone()) {
            if !families.contains(&family) {
                families.push(family);
            }
        }
        let mut by_family: Vec<_> = families
            .into_iter()
            .map(|f| healthy.iter().filter(move |e| e.address.family() == f).map(|e| e.id))
            .collect();
        let mut order = Vec::with_capacity(healthy.len());
        while order.len() < healthy.len() {
            order.extend(by_family.iter_mut().filter_map(Iterator::next));
        }
        order
    }

    /// How long to wait for a connection to this address before the next address is tried beside it: the time that its
    /// handshakes take, limited to a part of the request's remaining time.
    pub fn attempt_delay(&self, id: AddressId, remaining: Nanos) -> Nanos {
        let usual = match self.get(id).and_then(|e| e.handshake) {
            Some((mean, deviation)) => mean + ATTEMPT_DELAY_DEVIATIONS * deviation,
            None => DEFAULT_ATTEMPT_DELAY,
        };
        let [shortest, longest] = ATTEMPT_DELAY_BOUNDS;
        usual.clamp(shortest, longest).min(remaining / (self.len() as Nanos + 1)).max(MS)
    }

    // ---- outcomes of connections and requests ----

    /// A connection was established, which does not show that the box answers on it.
    pub fn connected(&mut self, id: AddressId, handshake: Nanos) {
        let Some(entry) = self.get_mut(id) else { return };
        entry.handshake = Some(smooth(entry.handshake, handshake));
    }

    /// The address answered a request, which makes it healthy.
    pub fn answer_received(&mut self, id: AddressId, latency: Nanos, now: Nanos) {
        self.answer_time = Some(smooth(self.answer_time, latency));
        let Some(entry) = self.get_mut(id) else { return };
        entry.consecutive_failures = 0;
        entry.refused = false;
        entry.ejected_until = 0;
        entry.probe_began = None;
        entry.cancelled = 0;
        entry.last_answer = Some(now);
        if entry.removed_at.is_none() {
            self.preferred_family = Some(entry.address.family());
        }
    }

    /// A connection was not established, or ended before its first answer.
    pub fn connection_failed(&mut self, id: AddressId, now: Nanos) {
        self.record_failure(id, now, true);
    }

    /// A request that was sent at `sent_at` timed out, or was cancelled. Returns true if the address appears to be at
    /// fault, and its connections are better not used: it has answered nothing since, and had enough time to answer.
    pub fn request_unanswered(&mut self, id: AddressId, sent_at: Nanos, cancelled: bool, now: Nanos) -> bool {
        let (waited, answer_time) = (now.saturating_sub(sent_at), self.answer_time);
        let exceeds = |deviations: Nanos, least: Nanos| {
            answer_time.is_some_and(|(mean, deviation)| waited >= (mean + deviations * deviation).max(least))
        };
        if cancelled && !exceeds(LONG_WAIT_DEVIATIONS, MIN_CANCELLED_WAIT) {
            // One short wait is weak evidence; several in a row show that the address is silent.
            let Some(entry) = self.get_mut(id).filter(|_| exceeds(CANCELLED_WAIT_DEVIATIONS, 0)) else {
                return false;
            };
            entry.cancelled += 1;
            if entry.cancelled < CANCELLED_IN_A_ROW {
                return false;
            }
        }
        let last_answer = self.get(id).and_then(|e| e.last_answer);
        // A single address is its box, whose health is judged elsewhere.
        if self.get(id).is_none() || self.len() <= 1 || last_answer.is_some_and(|at| at >= sent_at) {
            return false;
        }
        self.record_failure(id, now, false);
        true
    }

    /// Counts a failure of an address, and ejects it for a time that doubles with each consecutive failure.
    fn record_failure(&mut self, id: AddressId, now: Nanos, refused: bool) {
        let jitter = 1.0 - EJECTION_JITTER + 2.0 * EJECTION_JITTER * self.rng.f64();
        let Some(entry) = self.get_mut(id) else { return };
        // Several requests that fail within one ejection count as one failure.
        if entry.consecutive_failures > 0 && now < entry.ejected_until && entry.probe_began.is_none() {
            return;
        }
        let base = if refused { REFUSED_EJECTION } else { SILENT_EJECTION };
        let ejection = base
            .saturating_mul(1 << entry.consecutive_failures.min(MAX_EJECTION_DOUBLINGS))
            .min(MAX_EJECTION);
        entry.consecutive_failures += 1;
        entry.refused = refused;
        entry.probe_began = None;
        entry.ejected_until = now + (ejection as f64 * jitter) as Nanos;
    }
}

/// The smoothed mean and deviation, as TCP computes them for round trips (RFC 6298, section 2).
fn smooth(smoothed: Option<(Nanos, Nanos)>, sample: Nanos) -> (Nanos, Nanos) {
    match smoothed {
        None => (sample, sample / 2),
        Some((mean, deviation)) => ((7 * mean + sample) / 8, (3 * deviation + mean.abs_diff(sample)) / 4),
    }
}
