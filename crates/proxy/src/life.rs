//! The life of a request, in the order in which it is lived: it arrives, passes the gates, is decided on, sent,
//! has an outcome, is decided on again, answered, observed, and retired.

use crate::boxes::{self, GivenUp, Job};
use crate::front::clients;
use crate::path::{Final, Told, Verdict};
use crate::request::{Answer, Place, Query};
use crate::timers::Due;
use crate::{Proxy, MS};
use calicosaddle::api::*;
use std::rc::Rc;

impl Proxy {
    // ---- arrival ----

    pub(crate) fn client_news(&mut self, news: clients::News) {
        match news {
            clients::News::Query(id, place, query) => self.arrived(id, place, query),
            clients::News::TurnedAway(class) => {
                self.observers.tell(Told::Arrived);
                self.observers.tell(Told::Answered(Final::Refused, class));
            }
            clients::News::Left(id) => {
                // Danger: a client that only ended its sending waits for its answer, and one that left wants
                // nothing more to be done. An attempt that is out is let finish, no other follows it.
                if self.requests.leave(id) {
                    self.events.push_back(Event::Abandoned(id));
                }
            }
            clients::News::Wants(id) => self.wanted(id),
            clients::News::Gone(id) => {
                self.no_longer_wanted(id);
                if self.requests.answer(id).is_none() {
                    return;
                }
                self.observers.tell(Told::Abandoned);
                self.events.push_back(Event::Abandoned(id));
                self.end_attempts(id, Status::Cancelled);
                self.requests.retire(id);
            }
        }
    }

    fn arrived(&mut self, id: RequestId, place: Place, query: Rc<Query>) {
        self.observers.tell(Told::Arrived);
        let class = query.class;
        if query.write {
            self.copies.iter_mut().for_each(|c| c.wrote(query.key));
        }
        if self.gates.judge(&query, self.requests.len()) == Verdict::Refuse {
            self.give(place, class, Answer::Busy(0), Final::Refused);
            return;
        }
        match self.requests.arrive(id, place, query, self.turn.since, self.turn.now) {
            None => self.give(place, class, Answer::IdInUse, Final::Failed),
            Some((request, until)) => {
                self.turn.timers.set(until, Due::Deadline(id));
                self.events.push_back(Event::Arrival(request));
            }
        }
    }

    // ---- decisions ----

    /// Hands the module what happened, and does what it says.
    pub(crate) fn decide(&mut self) {
        while let Some(mut event) = self.events.pop_front() {
            if let Event::Outcome(o) = &mut event {
                o.request_complete = !self.requests.waits(o.id);
                self.requests.retire(o.id);
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.brain.handle(self.turn.now, event, &mut actions);
            actions.drain(..).for_each(|action| self.act(action));
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => self.end_attempt(id, attempt, Status::Cancelled),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Busy(retry_after.div_ceil(MS)), Final::Refused);
            }
            Action::Fail { id } => self.answer(id, Answer::Failed, Final::Failed),
            Action::Timer { token, delay } => {
                self.turn.timers.set(self.turn.now + delay, Due::Module(token));
            }
            // This module asks for no probes; the design has no use for them.
            Action::Probe(server) => self.events.push_back(Event::Probed {
                server,
                status: Status::NotSent,
                elapsed: 0,
                load_report: Vec::new(),
            }),
            Action::CloseIdle(server) => self.boxes.close_idle(server),
            // That is for hosts whose subscription goes on by itself; here each call is planned.
            Action::Subscribe => {}
        }
    }

    // ---- attempts ----

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Nanos) {
        let now = self.turn.now;
        let most = self.config.settings.max_attempts.max(1);
        let Some(begun) = self.requests.begin(id, server, most, now) else { return };
        self.observers.tell(Told::Attempt);
        let attempt = begun.number;
        if begun.over {
            self.end_attempt(id, attempt, Status::NotSent);
            return;
        }
        let mut until = begun.until;
        if timeout > 0 && now + timeout < until {
            until = now + timeout;
            self.turn.timers.set(until, Due::Attempt(id, attempt));
        }
        let promised =
            self.config.settings.classes.get(begun.query.class as usize).map_or(0, |c| c.latency_target);
        let aim = begun.until.saturating_sub(begun.query.wait) + promised;
        let aim = if promised == 0 { until } else { aim.min(until) };
        let job = Job { id, attempt, query: begun.query, aim, until };
        if let Some((key, new)) = self.boxes.send(server, job, now) {
            self.carried(id, attempt, key, new);
        }
    }

    /// A connection has an attempt; it may be new.
    fn carried(&mut self, id: RequestId, attempt: u32, key: usize, new: Option<boxes::Begun>) {
        let now = self.turn.now;
        if let Some(new) = new {
            let wait = self.config.settings.connect_timeout.max(MS);
            self.turn.timers.set(now + wait, Due::Connect(key, new.serial));
            if let Some(delay) = new.stagger {
                self.turn.timers.set(now + delay, Due::Stagger(key, new.serial));
            }
        }
        self.requests.carried(id, attempt, key);
    }

    /// Ends an attempt for a reason of ours: called off, timed out, or never sent.
    pub(crate) fn end_attempt(&mut self, id: RequestId, attempt: u32, mut status: Status) {
        let Some(a) = self.requests.attempt(id, attempt) else { return };
        if let Some(key) = a.connection {
            let given_up = GivenUp { sent: a.sent, late: status == Status::Timeout };
            if status == Status::Timeout && !self.boxes.is_written(key, id, attempt) {
                status = Status::ConnectFailed;
            }
            if !self.boxes.cancel(key, id, attempt, given_up, self.turn.now) {
                // Its news is on the way.
                return;
            }
        }
        self.ended(id, attempt, status, &resp::Reply::default());
    }

    fn end_attempts(&mut self, id: RequestId, status: Status) {
        self.requests.out(id).into_iter().for_each(|n| self.end_attempt(id, n, status));
    }

    pub(crate) fn deadline(&mut self, id: RequestId) {
        self.end_attempts(id, Status::Timeout);
        self.settle();
        // The module answers when its last attempt has timed out; this holds should it ever not.
        if self.requests.waits(id) {
            self.events.push_back(Event::Abandoned(id));
            self.answer(id, Answer::Failed, Final::Failed);
        }
    }

    // ---- outcomes ----

    pub(crate) fn attempt_news(&mut self, news: boxes::News) {
        match news {
            boxes::News::Ended(id, attempt, status, reply) => self.ended(id, attempt, status, &reply),
            boxes::News::Served(id, attempt, reply, bytes, took) => {
                let asked = self.copied(id);
                self.answer(id, Answer::Served(&reply, &bytes), Final::Served);
                self.ended(id, attempt, Status::Ok, &reply);
                if let Some(query) = asked {
                    self.served(&query, &reply, &bytes, took);
                }
            }
            boxes::News::Begun(id, attempt, key, shape, length) => {
                // Danger: it may have been called off since, and something else sent in its place.
                if self.requests.attempt(id, attempt).is_some() {
                    let asked = self.copied(id);
                    self.begun(id, key, shape, length);
                    if let Some(query) = asked {
                        self.serves_long(&query, length);
                    }
                }
                self.ended(id, attempt, Status::Ok, &resp::Reply::default());
            }
            boxes::News::Passed(id, bytes) => self.passed(id, &bytes),
            boxes::News::Done(id, reply) => self.passed_whole(id, &reply),
            boxes::News::Cut(id) => self.cut(id),
            boxes::News::Moved(id, attempt, key, new) => self.carried(id, attempt, key, new),
            boxes::News::Push(server, told) => self.observers.tell(Told::Push(server, &told)),
        }
    }

    /// Tells the module how an attempt ended.
    fn ended(&mut self, id: RequestId, attempt: u32, status: Status, reply: &resp::Reply) {
        let Some(a) = self.requests.end(id, attempt) else { return };
        self.events.push_back(Event::Outcome(Outcome {
            id,
            attempt,
            server: a.server,
            status,
            elapsed: self.turn.now.saturating_sub(a.sent),
            request_complete: false,
            hit: reply.hit(),
            load_report: load(&reply.load, &self.config.load_report_columns),
        }));
        // The module is no longer concerned with it, and nothing is under way for it.
        if self.requests.stranded(id) {
            self.answer(id, Answer::Failed, Final::Failed);
        }
    }

    // ---- answers ----

    /// Gives the one final answer.
    fn answer(&mut self, id: RequestId, answer: Answer<'_>, how: Final) {
        let Some((place, class)) = self.requests.answer(id) else { return };
        self.give(place, class, answer, how);
        self.requests.retire(id);
    }

    fn give(&mut self, place: Place, class: u32, answer: Answer<'_>, how: Final) {
        self.observers.tell(Told::Answered(how, class));
        self.clients.answer(place, &answer);
    }
}

/// Reads a load report: `name=value`, in the order of the columns; one that is not told is NaN.
fn load(report: &[u8], columns: &[String]) -> Vec<f64> {
    if columns.is_empty() || report.is_empty() {
        return Vec::new();
    }
    let report = String::from_utf8_lossy(report);
    let told = |column: &String| {
        let pair = report.split(',').filter_map(|p| p.split_once('=')).find(|(name, _)| name == column);
        pair.and_then(|(_, value)| value.parse().ok()).unwrap_or(f64::NAN)
    };
    columns.iter().map(told).collect()
}
