//! The number of connections that a box accepts from this proxy, as far as it is known.

use crate::Nanos;

const MS: Nanos = 1_000_000;
/// How long no further connection is opened after a refusal; doubled by each further one, up to the maximum.
const INITIAL_PAUSE: Nanos = 250 * MS;
const MAX_PAUSE: Nanos = 30_000 * MS;

/// Learns a box's connection limit from connections that it refused while it held others.
///
/// Without the limit, each request to a box whose connection table is full would open a connection there, lose it and
/// pay for a handshake, from a hundred proxies at once. The limit also adapts to boxes that count connections in a
/// smaller unit than was planned for. A box that is down refuses connections as well, which is unrelated to its limit,
/// so a refusal counts only if other connections to the box are answering.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLimit {
    /// The connections held when one more was refused; `None` if none ever was.
    limit: Option<usize>,
    /// No connection beyond the limit is tried before this time.
    paused_until: Nanos,
    /// The length of the last pause.
    pause: Nanos,
}

impl ConnectionLimit {
    /// Whether a connection may be opened beside this many others.
    pub fn allows(&self, connections: usize, now: Nanos) -> bool {
        self.limit.is_none_or(|limit| connections < limit || now >= self.paused_until)
    }

    /// A new connection ended before its first answer, while `held` others were answering.
    pub fn record_refused(&mut self, held: usize, now: Nanos) {
        if held == 0 || (self.limit.is_some() && now < self.paused_until) {
            // Either the box is down, or the refusal belongs to a group that has been counted.
            return;
        }
        self.limit = Some(held);
        self.pause = if self.pause == 0 { INITIAL_PAUSE } else { (self.pause * 2).min(MAX_PAUSE) };
        self.paused_until = now + self.pause;
    }

    /// A connection answered for the first time, which makes this many that do.
    pub fn record_answering(&mut self, connections: usize) {
        if self.limit.is_some_and(|limit| connections > limit) {
            *self = ConnectionLimit::default();
        }
    }
}
