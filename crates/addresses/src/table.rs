//! What is known of a box's addresses.

use crate::{Address, Family, Nanos, MAX_ADDRESSES};

const MS: Nanos = 1_000_000;
/// After a failed connection an address is left alone for so long, doubled with each further one in a row.
const REFUSED: Nanos = 250 * MS;
/// After a request that it left unanswered, for so long.
const SILENT: Nanos = 1_000 * MS;
/// No longer than this.
const LONGEST: Nanos = 60_000 * MS;
/// Of a time to wait, so much is by chance: many proxies must not come back in the same moment.
const JITTER: f64 = 0.25;
/// A trial that nothing was heard of is over after this.
const TRIAL: Nanos = 5_000 * MS;
/// A request that was called off says that an address is silent if it waited for this, at the least, and for longer
/// than answers of this box take.
const WAITED: Nanos = 50 * MS;
/// So many in a row that waited for as long as answers take say the same.
const ROW: u32 = 3;
/// What is known of an address that left the list is kept for so long: lists flap, too.
pub const REMOVED_RETENTION: Nanos = 120_000 * MS;
/// The delay before the next address is tried beside one that is not up: RFC 8305's, while nothing was measured, ...
const UNKNOWN: Nanos = 250 * MS;
/// ... and its bounds.
const DELAY: [Nanos; 2] = [10 * MS, 250 * MS];

/// An address of a book, for as long as the book stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AddressId(u32);

#[derive(Clone, Debug)]
struct Known {
    id: AddressId,
    address: Address,
    /// Handshakes took so long, smoothed, and differed by so much.
    handshake: Option<(Nanos, Nanos)>,
    /// Faults in a row, and whether the last of them was a connection that failed.
    faults: u32,
    refused: bool,
    /// It is left alone until then.
    until: Nanos,
    /// A trial is out since then.
    trial: Option<Nanos>,
    /// Requests in a row that were called off before it answered.
    unanswered: u32,
    /// When it answered last.
    answered: Option<Nanos>,
    /// When it left the list; nothing for one that is in it.
    left: Option<Nanos>,
}

/// The addresses of one box.
#[derive(Clone, Debug)]
pub struct AddressTable {
    known: Vec<Known>,
    next: u32,
    /// The family that answered last.
    family: Option<Family>,
    /// The box's answers took so long, smoothed, and differed by so much.
    usual: Option<(Nanos, Nanos)>,
    rng: fastrand::Rng,
}

impl AddressTable {
    /// No addresses yet.
    pub fn new(seed: u64) -> Self {
        AddressTable {
            known: Vec::new(),
            next: 0,
            family: None,
            usual: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes over a list, in its order. What was learned of an address stays, also while it is gone for a moment.
    /// Tells whether anything changed but the order.
    pub fn update(&mut self, list: &[Address], now: Nanos) -> bool {
        let list = &list[..list.len().min(MAX_ADDRESSES)];
        let same = self.len() == list.len() && list.iter().all(|a| self.live().any(|k| k.address == *a));
        let mut old = std::mem::take(&mut self.known);
        for address in list {
            let at = old.iter().position(|k| k.address == *address);
            let known = match at {
                Some(at) => Known { left: None, ..old.swap_remove(at) },
                None => {
                    self.next += 1;
                    Known {
                        id: AddressId(self.next),
                        address: address.clone(),
                        handshake: None,
                        faults: 0,
                        refused: false,
                        until: 0,
                        trial: None,
                        unanswered: 0,
                        answered: None,
                        left: None,
                    }
                }
            };
            self.known.push(known);
        }
        // The last to leave are remembered, as many as a box may have.
        for known in &mut old {
            known.left.get_or_insert(now);
        }
        old.retain(|k| k.left.is_some_and(|at| now < at + REMOVED_RETENTION));
        old.sort_by_key(|k| std::cmp::Reverse(k.left));
        old.truncate(MAX_ADDRESSES);
        self.known.extend(old);
        !same
    }

    fn live(&self) -> impl Iterator<Item = &Known> {
        self.known.iter().filter(|k| k.left.is_none())
    }

    fn get(&self, id: AddressId) -> Option<&Known> {
        self.known.iter().find(|k| k.id == id)
    }

    fn get_mut(&mut self, id: AddressId) -> Option<&mut Known> {
        self.known.iter_mut().find(|k| k.id == id)
    }

    /// How many addresses there are.
    pub fn len(&self) -> usize {
        self.live().count()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.live().next().is_none()
    }

    /// How many are kept in mind, those that left counted; at most twice [`MAX_ADDRESSES`].
    pub fn retained_len(&self) -> usize {
        self.known.len()
    }

    /// All addresses, in the list's order.
    pub fn addresses(&self) -> impl Iterator<Item = &Address> {
        self.live().map(|k| &k.address)
    }

    /// An address in the list.
    pub fn address(&self, id: AddressId) -> Option<&Address> {
        self.get(id).filter(|k| k.left.is_none()).map(|k| &k.address)
    }

    /// It is in the list, and may carry something new: no fault is known of it, or there is no other.
    pub fn usable(&self, id: AddressId) -> bool {
        match self.get(id) {
            Some(k) if k.left.is_none() => k.faults == 0 || self.len() == 1,
            _ => false,
        }
    }

    /// The order in which to connect now, for a read or for a write.
    ///
    /// Those that are well come first, families in turn, beginning with the one that answered last. One that was
    /// bad and has waited its time is tried before them by a read, one at a time, and never by a write while any is
    /// well. The rest is not tried. Where all are bad there is none until one has waited, so that a dead box costs
    /// few connections; but silence alone never takes the last address away, since a box that is only slow is silent
    /// as well. A single address is always tried: whether to leave its box alone is not decided here.
    pub fn connection_order(&mut self, now: Nanos, write: bool) -> Vec<AddressId> {
        if self.len() == 1 {
            return self.live().map(|k| k.id).collect();
        }
        for known in &mut self.known {
            known.trial = known.trial.filter(|at| now < at + TRIAL);
        }
        let mut order = self.interleaved();
        let waited = |k: &&Known| k.faults > 0 && k.until <= now && k.trial.is_none();
        let trial = if write && !order.is_empty() || self.live().any(|k| k.trial.is_some()) {
            None
        } else {
            self.live().filter(waited).min_by_key(|k| k.faults).map(|k| k.id)
        };
        if let Some(known) = trial.and_then(|id| self.get_mut(id)) {
            known.trial = Some(now);
            order.insert(0, known.id);
        }
        if order.is_empty() {
            let silent = self.live().filter(|k| !k.refused).min_by_key(|k| k.until);
            order.extend(silent.map(|k| k.id));
        }
        order
    }

    /// Those without a fault, families in turn.
    fn interleaved(&self) -> Vec<AddressId> {
        let well: Vec<&Known> = self.live().filter(|k| k.faults == 0).collect();
        let mut families: Vec<Family> = Vec::new();
        let listed = well.iter().map(|k| k.address.family());
        for family in
            self.family.into_iter().filter(|f| listed.clone().any(|l| l == *f)).chain(listed.clone())
        {
            if !families.contains(&family) {
                families.push(family);
            }
        }
        let mut rows: Vec<_> = families
            .into_iter()
            .map(|f| well.iter().filter(move |k| k.address.family() == f).map(|k| k.id))
            .collect();
        let mut order = Vec::with_capacity(well.len());
        while order.len() < well.len() {
            order.extend(rows.iter_mut().filter_map(Iterator::next));
        }
        order
    }

    /// How long to wait for an address to come up before another is tried beside it, where a request has so much
    /// time left: as long as its handshakes take, and no more than a part of that time.
    pub fn attempt_delay(&self, id: AddressId, left: Nanos) -> Nanos {
        let usual = match self.get(id).and_then(|k| k.handshake) {
            Some((mean, off)) => mean + 4 * off,
            None => UNKNOWN,
        };
        usual.clamp(DELAY[0], DELAY[1]).min(left / (self.len() as Nanos + 1)).max(MS)
    }

    // ---- what happened ----

    /// A connection came up after so long. That says nothing of whether anybody will answer on it.
    pub fn connected(&mut self, id: AddressId, took: Nanos) {
        let Some(known) = self.get_mut(id) else { return };
        known.handshake = Some(smooth(known.handshake, took));
    }

    /// It answered, after so long: all is well with it.
    pub fn answer_received(&mut self, id: AddressId, took: Nanos, now: Nanos) {
        self.usual = Some(smooth(self.usual, took));
        let Some(known) = self.get_mut(id) else { return };
        (known.faults, known.refused, known.until, known.trial) = (0, false, 0, None);
        known.unanswered = 0;
        known.answered = Some(now);
        if known.left.is_none() {
            self.family = Some(known.address.family());
        }
    }

    /// A connection to it did not come up, or ended before anything was answered on it.
    pub fn connection_failed(&mut self, id: AddressId, now: Nanos) {
        self.fault(id, now, true);
    }

    /// A request that was sent to it at `sent` has run out of time, or was called off. True if that is the address's
    /// fault as far as can be seen: nothing was answered over it since, and there was time enough for an answer.
    /// Connections to it are better not used then.
    pub fn request_unanswered(&mut self, id: AddressId, sent: Nanos, called_off: bool, now: Nanos) -> bool {
        let (waited, usual) = (now.saturating_sub(sent), self.usual);
        let longer = |much: Nanos, least: Nanos| {
            usual.is_some_and(|(mean, off)| waited >= (mean + much * off).max(least))
        };
        if called_off && !longer(8, WAITED) {
            // One that waited for less says little, and several in a row say the same.
            let Some(known) = self.get_mut(id).filter(|_| longer(1, 0)) else { return false };
            known.unanswered += 1;
            if known.unanswered < ROW {
                return false;
            }
        }
        let answered = self.get(id).and_then(|k| k.answered);
        // A single address is its box: whether that is well is not decided here.
        if self.get(id).is_none() || self.len() <= 1 || answered.is_some_and(|at| at >= sent) {
            return false;
        }
        self.fault(id, now, false);
        true
    }

    fn fault(&mut self, id: AddressId, now: Nanos, refused: bool) {
        let jitter = 1.0 - JITTER + 2.0 * JITTER * self.rng.f64();
        let Some(known) = self.get_mut(id) else { return };
        // Several requests that fail in one time of waiting are one fault.
        if known.faults > 0 && now < known.until && known.trial.is_none() {
            return;
        }
        let base = if refused { REFUSED } else { SILENT };
        let wait = base.saturating_mul(1 << known.faults.min(10)).min(LONGEST);
        known.faults += 1;
        known.refused = refused;
        known.trial = None;
        known.until = now + (wait as f64 * jitter) as Nanos;
    }
}

/// As TCP smooths its round trips (RFC 6298, section 2): the mean, and how much it differs.
fn smooth(known: Option<(Nanos, Nanos)>, took: Nanos) -> (Nanos, Nanos) {
    match known {
        None => (took, took / 2),
        Some((mean, off)) => ((7 * mean + took) / 8, (3 * off + mean.abs_diff(took)) / 4),
    }
}
