//! How many connections a box takes from here, as far as it has shown.

use crate::Nanos;

const MS: Nanos = 1_000_000;
/// After a refusal nothing more is opened for so long, doubled by each further one, up to the most.
const FIRST_PAUSE: Nanos = 250 * MS;
const LONGEST_PAUSE: Nanos = 30_000 * MS;

/// Learns from connections that a box refused while it held others.
///
/// Guards against a box that has no place left: each request would open a connection there, lose it, and pay a
/// handshake, and a hundred proxies would do so in the same moment. It should also catch boxes that count connections
/// in a smaller unit than was planned with. Danger: a box that is down refuses as well; that says nothing of its
/// places, so only a refusal beside a connection that holds counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLimit {
    /// So many held when one more was refused; nothing if none ever was.
    most: Option<usize>,
    until: Nanos,
    pause: Nanos,
}

impl ConnectionLimit {
    /// May one be opened beside so many?
    pub fn allows(&self, connections: usize, now: Nanos) -> bool {
        self.most.is_none_or(|most| connections < most || now >= self.until)
    }

    /// One was opened and ended before it had ever answered, while so many others answered.
    pub fn record_refused(&mut self, held: usize, now: Nanos) {
        if held == 0 || (self.most.is_some() && now < self.until) {
            // The box is gone, or the news is of the same moment.
            return;
        }
        self.most = Some(held);
        self.pause = if self.pause == 0 { FIRST_PAUSE } else { (self.pause * 2).min(LONGEST_PAUSE) };
        self.until = now + self.pause;
    }

    /// One answered for the first time, and there are so many that do.
    pub fn record_answering(&mut self, connections: usize) {
        if self.most.is_some_and(|most| connections > most) {
            *self = ConnectionLimit::default();
        }
    }
}
