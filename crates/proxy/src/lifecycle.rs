//! The life of a request, in order: it arrives, passes the gates, is decided on by the balancer, sent to cache nodes,
//! has outcomes, is answered, and retired.

use crate::boxes::{self, AbandonedAttempt, QueuedAttempt};
use crate::front::clients::{self, GivenAnswer};
use crate::gates::Verdict;
use crate::observers::{FinalResult, Notification};
use crate::request::{Answer, Query, ReplySlot, HALF_CLOSE_GRACE};
use crate::timers::TimerEvent;
use crate::{Proxy, MS};
use calicosaddle::api::*;
use std::rc::Rc;

impl Proxy {
    // ---- arrival and gates ----

    pub(crate) fn handle_client_event(&mut self, event: clients::ClientEvent) {
        match event {
            clients::ClientEvent::Query { id, slot, query, delayed_since } => {
                self.start_request(id, slot, query, delayed_since);
            }
            clients::ClientEvent::Rejected(class) => {
                self.observers.notify(Notification::Arrived);
                self.observers.notify(Notification::Answered(FinalResult::Refused, class));
            }
            clients::ClientEvent::HalfClosed(id, at) => self.client_half_closed(id, at),
            clients::ClientEvent::EndHidden(id) => self.requests.set_send_until(id, self.event_loop.now),
            clients::ClientEvent::EndVisible(id) => self.requests.set_send_until(id, Nanos::MAX),
            clients::ClientEvent::ReadyForMore(id) => self.resume_stream(id),
            clients::ClientEvent::Disconnected(id) => self.client_disconnected(id),
        }
    }

    /// Leads a request through the gates to the balancer. Its connection may not have been read since `delayed_since`.
    fn start_request(
        &mut self,
        id: RequestId,
        slot: ReplySlot,
        query: Rc<Query>,
        delayed_since: Option<Nanos>,
    ) {
        self.observers.notify(Notification::Arrived);
        let class = query.class;
        if query.write {
            self.shadow_traffic.iter_mut().for_each(|s| s.note_write(query.key));
        }
        if self.gates.check(&query, self.requests.len()) == Verdict::Refuse {
            self.write_answer(slot, class, Answer::Busy(0), FinalResult::Refused);
            return;
        }
        let (earliest, now) = (self.event_loop.earliest_arrival, self.event_loop.now);
        let arrived = delayed_since.map_or(earliest, |since| since.min(earliest));
        let latest_deadline = self.shutdown.map(|shutdown| shutdown.gives_up_at());
        match self.requests.insert(id, slot, query, arrived, latest_deadline, now) {
            Err(answer) => {
                let refused = matches!(answer, Answer::Busy(_));
                let result = if refused { FinalResult::Refused } else { FinalResult::Failed };
                self.write_answer(slot, class, answer, result);
            }
            Ok((request, deadline)) => {
                self.event_loop.timers.set(deadline, TimerEvent::RequestDeadline(id));
                self.pending_events.push_back(Event::Arrival(request));
            }
        }
    }

    // ---- decisions ----

    /// Passes the pending events to the balancer and carries out its actions.
    pub(crate) fn decide(&mut self) {
        while let Some(mut event) = self.pending_events.pop_front() {
            if let Event::Outcome(outcome) = &mut event {
                outcome.request_complete = !self.requests.is_unanswered(outcome.id);
                self.requests.retire(outcome.id);
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(self.event_loop.now, event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(action));
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => self.end_attempt(id, attempt, Status::Cancelled),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Busy(retry_after.div_ceil(MS)), FinalResult::Refused);
            }
            Action::Fail { id } => self.answer(id, Answer::Failed, FinalResult::Failed),
            Action::Timer { token, delay } => {
                self.event_loop.timers.set(self.event_loop.now + delay, TimerEvent::Balancer(token));
            }
            // This proxy sends no probes, and its balancer asks for none.
            Action::Probe(server) => self.pending_events.push_back(Event::Probed {
                server,
                status: Status::NotSent,
                elapsed: 0,
                load_report: Vec::new(),
            }),
            Action::CloseIdle(server) => self.boxes.close_idle(server),
            // For hosts that hold a subscription to discovery; this proxy schedules its discovery polls itself.
            Action::Subscribe => {}
        }
    }

    // ---- attempts ----

    /// Starts an attempt. A `timeout` of 0 means until the request's deadline.
    fn send(&mut self, id: RequestId, server: ServerId, timeout: Nanos) {
        let now = self.event_loop.now;
        let max_attempts = self.config.settings.max_attempts.max(1);
        let Some(started) = self.requests.start_attempt(id, server, max_attempts, now) else { return };
        self.observers.notify(Notification::Attempt);
        let attempt = started.number;
        if started.must_not_send {
            self.end_attempt(id, attempt, Status::NotSent);
            return;
        }
        let mut deadline = started.deadline;
        if timeout > 0 && now + timeout < deadline {
            deadline = now + timeout;
            self.event_loop.timers.set(deadline, TimerEvent::AttemptTimeout(id, attempt));
        }
        let class = self.config.settings.classes.get(started.query.class as usize);
        let latency_target = class.map_or(0, |c| c.latency_target);
        let target = started.deadline.saturating_sub(started.query.timeout) + latency_target;
        let target = if latency_target == 0 { deadline } else { target.min(deadline) };
        let queued = QueuedAttempt { id, attempt, query: started.query, target, deadline };
        if let Some((connection, new)) = self.boxes.send(server, queued, now) {
            self.assign_connection(id, attempt, connection, new);
        }
    }

    /// Records the connection that carries an attempt, and sets the timers of a connection that was just begun.
    fn assign_connection(
        &mut self,
        id: RequestId,
        attempt: u32,
        connection: usize,
        new: Option<boxes::NewConnection>,
    ) {
        let now = self.event_loop.now;
        let timers = &mut self.event_loop.timers;
        if let Some(new) = new {
            let timeout = self.config.settings.connect_timeout.max(MS);
            timers.set(now + timeout, TimerEvent::ConnectTimeout(connection, new.serial));
            if let Some(delay) = new.connection_attempt_delay {
                timers.set(now + delay, TimerEvent::ConnectionAttemptDelay(connection, new.serial));
            }
        }
        self.requests.set_connection(id, attempt, connection);
    }

    /// Sets the timer after which repeats of an attempt that was just written would not be recognised as such.
    fn limit_repeats(&mut self, id: RequestId) {
        let limit = self.requests.query(id).and_then(|query| query.written.borrow().repeat_limit());
        if let Some(limit) = limit {
            self.event_loop.timers.set(limit, TimerEvent::RepeatLimit(id));
        }
    }

    /// Ends the attempts of a request that would no longer be recognised as repeats of another one: those that are not
    /// written completely, and long ones that are not answered, as their last bytes may still be in the socket's buffer.
    pub(crate) fn end_late_repeats(&mut self, id: RequestId) {
        let Some(query) = self.requests.query(id).cloned() else { return };
        for number in self.requests.open_attempts(id) {
            if query.written.borrow().allows(number, self.event_loop.now) {
                continue;
            }
            if !self.is_written(id, number) {
                self.end_attempt(id, number, Status::NotSent);
            } else if query.is_long() {
                self.end_attempt(id, number, Status::Cancelled);
            }
        }
    }

    /// Whether the last byte of an open attempt is written.
    fn is_written(&self, id: RequestId, attempt: u32) -> bool {
        let connection = self.requests.attempt(id, attempt).and_then(|a| a.connection);
        connection.is_some_and(|key| self.boxes.is_written(key, id, attempt))
    }

    /// Ends an attempt that the proxy cancels, that timed out, or that is not sent.
    pub(crate) fn end_attempt(&mut self, id: RequestId, attempt: u32, mut status: Status) {
        let Some(a) = self.requests.attempt(id, attempt) else { return };
        if self.boxes.cancel_unopened(id, attempt) {
            // It waited for a socket of this machine, which is no fault of the node.
            status = Status::NotSent;
        } else if let Some(connection) = a.connection {
            if status == Status::Timeout && self.boxes.waits_for_memory(connection) {
                // The reply waits for this process, which is no fault of the node.
                status = Status::Cancelled;
            }
            let abandoned = AbandonedAttempt { sent_at: a.sent, timed_out: status == Status::Timeout };
            if status == Status::Timeout && !self.boxes.is_written(connection, id, attempt) {
                status = Status::ConnectFailed;
            }
            if !self.boxes.cancel(connection, id, attempt, abandoned, self.event_loop.now) {
                // The connection has already reported the attempt's outcome, which is still in the queue.
                return;
            }
        }
        self.attempt_ended(id, attempt, status, &resp::Reply::default());
    }

    fn end_all_attempts(&mut self, id: RequestId, status: Status) {
        self.requests.open_attempts(id).into_iter().for_each(|n| self.end_attempt(id, n, status));
    }

    // ---- outcomes ----

    pub(crate) fn handle_attempt_event(&mut self, event: boxes::NodeEvent) {
        match event {
            boxes::NodeEvent::Written(id) => self.limit_repeats(id),
            boxes::NodeEvent::Ended(id, attempt, status, reply) => {
                self.attempt_ended(id, attempt, status, &reply)
            }
            boxes::NodeEvent::Served(id, attempt, reply, bytes, took) => {
                let shadowed = self.query_to_shadow(id);
                self.answer(id, Answer::Served(&reply, &bytes), FinalResult::Served);
                self.attempt_ended(id, attempt, Status::Ok, &reply);
                if let Some(query) = shadowed {
                    self.shadow_served(&query, &reply, &bytes, took);
                }
            }
            boxes::NodeEvent::ValueStarted(id, attempt, connection, format, length) => {
                // If the attempt has been cancelled since, another one may be answering the request.
                if self.requests.attempt(id, attempt).is_some() {
                    let shadowed = self.query_to_shadow(id);
                    self.start_stream(id, attempt, connection, format, length);
                    if let Some(query) = shadowed {
                        self.shadow_long_value(&query, length);
                    }
                }
                self.attempt_ended(id, attempt, Status::Ok, &resp::Reply::default());
            }
            boxes::NodeEvent::ValueBytes(id, attempt, bytes) => self.forward_part(id, attempt, &bytes),
            boxes::NodeEvent::ValueComplete(id, attempt, reply) => self.finish_stream(id, attempt, &reply),
            boxes::NodeEvent::ValueTruncated(id, attempt) => self.abort_stream(id, attempt),
            boxes::NodeEvent::Reassigned(id, attempt, connection, new) => {
                self.assign_connection(id, attempt, connection, new);
            }
            boxes::NodeEvent::Push(server, message) => {
                self.observers.notify(Notification::Push(server, &message));
            }
        }
    }

    /// Reports an attempt's outcome to the balancer.
    fn attempt_ended(&mut self, id: RequestId, attempt: u32, status: Status, reply: &resp::Reply) {
        let Some(a) = self.requests.end_attempt(id, attempt) else { return };
        if let Some(query) = self.requests.query(id).filter(|_| status.never_ran()) {
            query.written.borrow_mut().remove(attempt);
        }
        self.pending_events.push_back(Event::Outcome(Outcome {
            id,
            attempt,
            server: a.server,
            status,
            elapsed: self.event_loop.now.saturating_sub(a.sent),
            request_complete: false,
            hit: reply.hit(),
            load_report: parse_load_report(&reply.load, &self.config.load_report_columns),
        }));
        // The balancer has dropped an orphaned request and will not answer it.
        if self.requests.is_orphaned(id) {
            self.answer(id, Answer::Failed, FinalResult::Failed);
        }
    }

    // ---- answers ----

    /// Gives a request its one final answer; later ones are ignored.
    fn answer(&mut self, id: RequestId, answer: Answer<'_>, result: FinalResult) {
        let Some((slot, class)) = self.requests.mark_answered(id) else { return };
        self.write_answer(slot, class, answer, result);
        if result == FinalResult::Failed {
            self.requests.keep_id_of_unserved(id, self.event_loop.now);
        }
        self.requests.retire(id);
    }

    fn write_answer(&mut self, slot: ReplySlot, class: u32, answer: Answer<'_>, result: FinalResult) {
        let result = match self.clients.answer(slot, &answer) {
            GivenAnswer::Unchanged => result,
            GivenAnswer::Refused => FinalResult::Refused,
            GivenAnswer::Failed => FinalResult::Failed,
        };
        self.observers.notify(Notification::Answered(result, class));
    }

    // ---- requests that end early ----

    /// Handles a request's deadline.
    pub(crate) fn request_deadline(&mut self, id: RequestId) {
        if !self.streamed_values.contains(id) {
            self.requests.release_id(id);
        }
        self.end_all_attempts(id, Status::Timeout);
        self.process_pending();
        // The balancer answers a request when its last attempt times out; this is a safeguard in case it does not.
        if self.requests.is_unanswered(id) {
            self.pending_events.push_back(Event::Abandoned(id));
            self.answer(id, Answer::Failed, FinalResult::Failed);
        }
    }

    /// Gives up a request because the process is about to end. It is refused if a retry is harmless.
    pub(crate) fn give_up(&mut self, id: RequestId) {
        let Some(query) = self.requests.unanswered_query(id) else { return };
        let may_have_run = !query.written.borrow().is_empty();
        let class = self.config.settings.classes.get(query.class as usize);
        self.pending_events.push_back(Event::Abandoned(id));
        if class.is_some_and(|class| class.may_be_refused(may_have_run)) {
            self.answer(id, Answer::Busy(0), FinalResult::Refused);
        } else {
            self.answer(id, Answer::Failed, FinalResult::Failed);
        }
        self.end_all_attempts(id, Status::Cancelled);
    }

    /// Handles a client that has shut down its sending side. It may still be waiting for the answer, or may have
    /// abandoned the request. Attempts that are written within [`HALF_CLOSE_GRACE`] are therefore left to finish, and no
    /// further one is sent.
    fn client_half_closed(&mut self, id: RequestId, at: Nanos) {
        let send_until = at + HALF_CLOSE_GRACE;
        if !self.requests.mark_half_closed(id, send_until) {
            return;
        }
        self.pending_events.push_back(Event::Abandoned(id));
        if self.requests.is_orphaned(id) {
            self.answer(id, Answer::Failed, FinalResult::Failed);
        } else {
            self.event_loop.timers.set(send_until, TimerEvent::HalfCloseGrace(id));
        }
    }

    /// Ends the attempts that are not written completely, at the end of [`HALF_CLOSE_GRACE`].
    pub(crate) fn end_unwritten_attempts(&mut self, id: RequestId) {
        for number in self.requests.open_attempts(id) {
            if !self.is_written(id, number) {
                self.end_attempt(id, number, Status::NotSent);
            }
        }
    }

    /// Cancels and retires a request whose client has disconnected.
    fn client_disconnected(&mut self, id: RequestId) {
        self.cancel_stream(id);
        if self.requests.mark_answered(id).is_none() {
            return;
        }
        self.observers.notify(Notification::Abandoned);
        self.pending_events.push_back(Event::Abandoned(id));
        self.end_all_attempts(id, Status::Cancelled);
        self.requests.keep_id_of_unserved(id, self.event_loop.now);
        self.requests.retire(id);
    }
}

/// Parses a load report, `name=value` separated by commas, into the order of the configured columns. A column that the
/// report does not contain is NaN.
fn parse_load_report(report: &[u8], columns: &[String]) -> Vec<f64> {
    if columns.is_empty() || report.is_empty() {
        return Vec::new();
    }
    let report = String::from_utf8_lossy(report);
    let value = |column: &String| {
        let pair = report.split(',').filter_map(|p| p.split_once('=')).find(|(name, _)| name == column);
        pair.and_then(|(_, value)| value.parse().ok()).unwrap_or(f64::NAN)
    };
    columns.iter().map(value).collect()
}
