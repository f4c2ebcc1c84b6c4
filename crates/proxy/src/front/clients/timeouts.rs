//! The time limits of client connections.

use super::{Client, Clients, MS};
use calicosaddle::api::Nanos;

/// How long after it connected a client may have sent no command, and how long a command may be incomplete. A client may
/// take 2 s to write a command, and a slow one has to be disconnected within 3 s.
const COMMAND_TIMEOUT: Nanos = 2_400 * MS;
/// How long the value of a command may take. Pauses in it are limited to [`COMMAND_TIMEOUT`].
const VALUE_TIMEOUT: Nanos = 30_000 * MS;
/// Time without reading any of its answers after which a client is disconnected.
const STALL_TIMEOUT: Nanos = 5_000 * MS;
/// How long a client may be silent between requests.
const IDLE_TIMEOUT: Nanos = 10_000 * MS;
/// The idle timeouts while idle clients that have sent requests hold more than a quarter of the allowed connections: for
/// clients with one request so far, and for clients with more. Otherwise clients that send one request and stay
/// connected, or connection pools larger than needed, would take all connections; where upstream proxies may open only a
/// limited number, no client with a request could then connect. The cost is that clients with a request every few
/// seconds reconnect each time.
const CROWDED_IDLE_TIMEOUTS: [Nanos; 2] = [250 * MS, 2_000 * MS];
/// How long a client has to close its side after the last answer.
const LINGER_TIMEOUT: Nanos = 250 * MS;

impl Clients {
    /// Disconnects clients that have exceeded a time limit.
    pub fn sweep(&mut self, now: Nanos) {
        self.yield_priority_of_paused(now);
        let exceeded = |since: Nanos, timeout: Nanos| now.saturating_sub(since) > timeout;
        let is_slow = |c: &Client, since: Nanos| match c.parser.in_value() {
            // A command that waits for memory waits for this proxy, not for its client, and has a limit of its own.
            true => {
                !c.parser.waits_for_memory()
                    && (exceeded(c.active_at, COMMAND_TIMEOUT) || exceeded(since, VALUE_TIMEOUT))
            }
            false => exceeded(since, COMMAND_TIMEOUT),
        };
        let (mut expired, mut slow) = (Vec::new(), Vec::new());
        let idle_count = self.clients.iter().filter(|(_, c)| c.request_count > 0 && c.is_idle()).count();
        let is_crowded = idle_count > self.max_clients / 4;
        let idle_timeout = |c: &Client| match c.request_count {
            1 if is_crowded => CROWDED_IDLE_TIMEOUTS[0],
            2.. if is_crowded => CROWDED_IDLE_TIMEOUTS[1],
            _ => IDLE_TIMEOUT,
        };
        for (key, c) in &self.clients {
            // Counted from the first write that the socket did not accept: an answer that took longer than this may not
            // have been offered to its client yet.
            let is_stalled = c.blocked_since.is_some_and(|since| exceeded(since, STALL_TIMEOUT));
            let is_silent =
                c.awaiting_first_command_since.is_some_and(|since| exceeded(since, COMMAND_TIMEOUT))
                    || exceeded(c.active_at, idle_timeout(c));
            if is_stalled
                || c.lingering_since.is_some_and(|since| exceeded(since, LINGER_TIMEOUT))
                || (is_silent && c.is_closable())
            {
                expired.push(key);
            } else if !c.closing && c.partial_since.is_some_and(|since| is_slow(c, since)) {
                slow.push(key);
            }
        }
        expired.into_iter().for_each(|key| self.remove(key));
        for key in slow {
            if let Some(client) = self.clients.get_mut(key) {
                client.closing = true;
            }
            self.answer_directly(key, b"-ERR Protocol error: the command took too long\r\n");
        }
    }
}
