//! Attempts that wait because this machine can't open a socket for them at the moment. They wait for a limited time, so that a
//! refusal comes early enough for a retry, and say nothing about their nodes.

use super::{Boxes, NodeEvent, QueuedAttempt, MS};
use crate::io_error::LOCAL_RETRY_DELAY;
use calicosaddle::api::{Nanos, RequestId, ServerId, Status};
use std::collections::VecDeque;

/// How long an attempt waits for a socket.
const UNOPENED_TIMEOUT: Nanos = 250 * MS;

/// An attempt without a connection.
#[derive(Debug)]
struct UnopenedAttempt {
    server: ServerId,
    queued: QueuedAttempt,
    /// When it is given up.
    until: Nanos,
}

/// The attempts without a connection, in their order.
#[derive(Debug, Default)]
pub struct UnopenedAttempts {
    attempts: VecDeque<UnopenedAttempt>,
    /// When the next socket is opened.
    retry_at: Nanos,
}

impl UnopenedAttempts {
    /// When the next socket is opened, if an attempt waits for one.
    pub fn next_retry(&self) -> Option<Nanos> {
        (!self.attempts.is_empty()).then_some(self.retry_at)
    }

    /// Adds an attempt for which no socket could be opened. It is given up at `until`, if it has waited before.
    pub fn push(&mut self, server: ServerId, queued: QueuedAttempt, until: Option<Nanos>, now: Nanos) {
        let until = until.unwrap_or(now + UNOPENED_TIMEOUT);
        self.attempts.push_back(UnopenedAttempt { server, queued, until });
        self.retry_at = now + LOCAL_RETRY_DELAY;
    }
}

impl Boxes {
    /// Opens connections for attempts that wait for a socket, until that fails again.
    pub(super) fn retry_unopened(&mut self, now: Nanos) {
        for _ in 0..self.unopened.attempts.len() {
            if self.unopened.retry_at > now {
                return;
            }
            let Some(waiting) = self.unopened.attempts.pop_front() else { return };
            let UnopenedAttempt { server, queued, until } = waiting;
            if until <= now {
                self.end_unsent(queued, Status::NotSent);
                continue;
            }
            let (id, attempt) = (queued.id, queued.attempt);
            if let Some((key, new)) = self.send_or_wait(server, queued, Some(until), now) {
                self.events.push_back(NodeEvent::Reassigned(id, attempt, key, new));
            }
        }
    }

    /// Stops waiting for a socket for an attempt; returns false if it waits for none.
    pub fn cancel_unopened(&mut self, id: RequestId, attempt: u32) -> bool {
        let waiting = &mut self.unopened.attempts;
        let before = waiting.len();
        waiting.retain(|waiting| (waiting.queued.id, waiting.queued.attempt) != (id, attempt));
        waiting.len() < before
    }
}
