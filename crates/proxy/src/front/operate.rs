//! What controllers ask of a proxy, carried out: its state told, boxes and the proxy itself drained, another
//! configuration taken over. All that bears on where requests go reaches the module as events.

use super::admin::AdminCommand;
use super::control::{requires_running_proxy, watch_interval};
use crate::event_loop::Source;
use crate::gates::Gates;
use crate::metrics::Gauges;
use crate::platform::config::Config;
use crate::shadow_traffic::ShadowTraffic;
use crate::{Proxy, MS};
use ::control::message::{
    Answer, Body, Code, Error, KnownList, List, Page, Phase, Reconfigured, Status, MAX_PAGE,
};
use ::control::state::should_apply;
use ::control::{Op, Request, State, MAX_REPLY};
use calicosaddle::api::{server_id, Event, Nanos, ServerId};
use serde_json::{json, Value};

impl Proxy {
    /// Does the work that controllers have, when its turn has come.
    pub(crate) fn serve_controllers(&mut self) {
        let Some(mut endpoint) = self.control.take() else { return };
        let began = self.event_loop.clock.now();
        if endpoint.work_due().is_some_and(|at| at <= began) {
            self.event_loop.now = began;
            let registry = self.event_loop.registry();
            let requests = endpoint.take_requests(
                registry,
                |key| Source::ControlConnection(key).token(),
                &mut self.buffer,
                began,
            );
            for (key, request) in requests {
                let (id, done) = match request {
                    Err((id, error)) => (id, Err(error)),
                    Ok(Request { id, op: Op::Watch { every_ms }, .. }) => {
                        let watched = watch_interval(every_ms).map(|every| {
                            endpoint.watch(key, id.clone(), every, self.change_count, began);
                            Answer::Status(Box::new(self.status()))
                        });
                        (id, watched)
                    }
                    Ok(Request { id, op, .. }) => (id, self.execute_op(op)),
                };
                self.process_pending();
                match done {
                    Ok(answer) => endpoint.reply(key, id, Body::Ok(answer), began),
                    Err(error) => endpoint.error(key, id, error, began),
                }
            }
            endpoint.notify_watchers(self.change_count, || self.status(), began);
            endpoint.record_work(began, self.event_loop.clock.now());
        }
        self.control = Some(endpoint);
    }

    /// Tells watchers what changed, and lets go of controllers that take too long.
    pub(crate) fn sweep_control(&mut self) {
        if !self.has_been_ready && self.boxes.counts().1 > 0 {
            self.has_been_ready = true;
            self.change_count += 1;
        }
        let Some(mut endpoint) = self.control.take() else { return };
        // One that is drained stops by itself when its last client leaves.
        let stopped = self.phase() == Phase::Stopped;
        if std::mem::replace(&mut self.was_stopped, stopped) != stopped {
            self.change_count += 1;
        }
        endpoint.sweep(self.event_loop.now);
        endpoint.notify_watchers(self.change_count, || self.status(), self.event_loop.now);
        self.control = Some(endpoint);
    }

    fn execute_op(&mut self, op: Op) -> Result<Answer, Error> {
        if self.terminating_since.is_some() && requires_running_proxy(&op) {
            return Err(Error::new(Code::Stopping, "the instance has been told to end; nothing changed"));
        }
        let state = &self.persisted.state;
        match op {
            Op::Status | Op::Watch { .. } => {}
            Op::Boxes { after, limit } => {
                let limit = limit.unwrap_or(MAX_PAGE);
                if !(1..=MAX_PAGE).contains(&limit) {
                    let message = format!("limit is {limit}; 1 to {MAX_PAGE} is allowed");
                    return Err(Error::new(Code::BadRequest, message));
                }
                let zones = &self.config.topology.zones;
                let (boxes, more) = self.boxes.status_page(&after, limit, false, zones, self.event_loop.now);
                return Ok(Answer::Boxes(Page { boxes, more }));
            }
            Op::List => return Ok(Answer::KnownList(KnownList { known: self.known_list() })),
            Op::Drain => self.drain()?,
            Op::Undrain => self.undrain()?,
            Op::DrainBox { name } => self.store_state(state.with_box_drained(&name, true)?)?,
            Op::UndrainBox { name } => self.store_state(state.with_box_drained(&name, false)?)?,
            Op::SetDrained { revision, boxes } => self.store_state(state.with_drained(revision, boxes)?)?,
            Op::ShadowStart { generation, lease_ms } => {
                return self.run_shadow_order(|c, now| c.start(generation, lease_ms, now))
            }
            Op::ShadowStop { generation } => return self.run_shadow_order(|c, now| c.stop(generation, now)),
            Op::ShadowStatus => return self.run_shadow_order(|_, _| Ok(())),
            Op::Reconfigure { generation, config, dry_run } => {
                return self.reconfigure(generation, &config.to_string(), dry_run).map(Answer::Reconfigured);
            }
        }
        Ok(Answer::Status(Box::new(self.status())))
    }

    /// The list, as the next process may begin with it. Its version is discovery's.
    fn known_list(&self) -> Value {
        let Some(version) = self.discovery.last_list().0 else { return Value::Null };
        let hosts = self.boxes.hosts(&self.config.topology);
        // Danger: an answer past the frame's bound would end the connection.
        if hosts.len() > MAX_REPLY / 512 {
            return Value::Null;
        }
        json!({"seq": version, "whole": true, "hosts": hosts})
    }

    /// Carries out an order for copying; how that stands then.
    fn run_shadow_order(
        &mut self,
        order: impl FnOnce(&mut ShadowTraffic, Nanos) -> Result<(), Error>,
    ) -> Result<Answer, Error> {
        let Some(copies) = &mut self.shadow_traffic else {
            return Err(Error::new(Code::BadRequest, "the operator's file has no [shadow]"));
        };
        order(copies, self.event_loop.now)?;
        self.update_candidates();
        self.persist_shadow_state();
        let copies = self.shadow_traffic.as_ref().map(|c| c.copying(&self.config.classes));
        copies.map(|c| Answer::Shadow(Box::new(c))).ok_or_else(|| Error::new(Code::Stopping, "it ends"))
    }

    // ---- drains ----

    fn store_state(&mut self, change: Option<State>) -> Result<(), Error> {
        if let Some(state) = change {
            self.persisted.store(state)?;
            self.change_count += 1;
            self.apply_box_drains();
        }
        Ok(())
    }

    /// Puts in force what operators said of boxes: for the module's choices, and for what waits to be written.
    pub(crate) fn apply_box_drains(&mut self) {
        let servers: Vec<ServerId> = self.persisted.state.boxes.iter().map(|name| server_id(name)).collect();
        self.boxes.set_drained(&servers, self.event_loop.now);
        self.pending_events.push_back(Event::OperatorDrained(servers));
    }

    fn drain(&mut self) -> Result<(), Error> {
        if self.draining_since.is_none() {
            self.persisted.store(State { drained: true, ..self.persisted.state.clone() })?;
            self.draining_since = Some(self.event_loop.now);
            self.change_count += 1;
        }
        Ok(())
    }

    fn undrain(&mut self) -> Result<(), Error> {
        if self.draining_since.is_none() {
            return Ok(());
        }
        let before = self.persisted.state.clone();
        self.persisted.store(State { drained: false, ..before.clone() })?;
        if self.closed_to_clients {
            if let Err(e) = self.clients.listen(self.event_loop.registry(), Source::ClientListener.token()) {
                // Danger: a restart would serve where the tool was told that it stays drained.
                self.persisted.store(before)?;
                let message = format!("{} can't be listened at: {e}; still drained", self.config.listen);
                return Err(Error::new(Code::Storage, message));
            }
        }
        (self.draining_since, self.closed_to_clients) = (None, false);
        self.change_count += 1;
        Ok(())
    }

    // ---- configuration ----

    fn reconfigure(&mut self, generation: u64, text: &str, dry_run: bool) -> Result<Reconfigured, Error> {
        let mut new =
            Config::parse(text, |_| None).map_err(|e| Error::new(Code::BadConfig, e.to_string()))?;
        self.boxes.check_config(&new).map_err(|e| Error::new(Code::BadConfig, e))?;
        let (changes, needs_restart) = self.config.changes(&new);
        let same = changes.is_empty() && needs_restart.is_empty();
        let next = should_apply("generation", self.config.generation, generation, same)?;
        let applied = needs_restart.is_empty();
        if applied && next && !dry_run {
            let (moved, settings) =
                (new.discovery != self.config.discovery, new.settings != self.config.settings);
            new.generation = generation;
            self.config.apply(new);
            self.discovery.configure((&self.config.settings).into());
            self.boxes.configure(&self.config);
            self.gates = Gates::new(self.config.max_open_requests);
            self.shadow_traffic.iter_mut().for_each(|c| c.set_proxies(&self.config));
            if settings {
                self.pending_events.push_back(Event::Settings(Box::new(self.config.settings.clone())));
            }
            if moved {
                self.discovery_address_changed();
            }
            self.change_count += 1;
        }
        let changes = changes.into_iter().chain(needs_restart.iter().cloned()).collect();
        Ok(Reconfigured { generation: self.config.generation, applied, changes, needs_restart })
    }

    // ---- state ----

    pub(crate) fn phase(&self) -> Phase {
        let leaving = self.draining_since.is_some() || self.terminating_since.is_some();
        match (leaving, self.closed_to_clients && self.clients.is_empty()) {
            (true, true) => Phase::Stopped,
            (true, false) => Phase::Draining,
            (false, _) if self.has_been_ready || self.boxes.counts().1 > 0 => Phase::Ready,
            (false, _) => Phase::Starting,
        }
    }

    /// Answers an operator's call.
    pub(crate) fn serve_admin_caller(&mut self, key: usize) {
        let Some(call) = self.admin.as_mut().and_then(|a| a.read_command(key, &mut self.buffer)) else {
            return;
        };
        let answer = match call {
            // Before there is a listener, or once it is closed, clients are not taken.
            Ok(AdminCommand::Ready) if self.closed_to_clients || self.terminating_since.is_some() => {
                "error not ready\n".to_owned()
            }
            Ok(AdminCommand::Ready) => "done\n".to_owned(),
            Ok(AdminCommand::ShowStat) => self.figures() + "end\n",
            Err(what) => format!("error {what}\n"),
        };
        self.admin.iter_mut().for_each(|a| a.answer(key, &answer));
    }

    fn figures(&self) -> String {
        let now = Gauges {
            backend_calls: self.boxes.attempts_written(),
            inflight: self.requests.unanswered() + self.streamed_values.len(),
            hosts_listed: self.boxes.counts().0,
            hosts_down: self.balancer.unavailable_servers(self.event_loop.now),
        };
        self.observers.metrics.write(&self.config.classes, &now)
    }

    pub(crate) fn status(&self) -> Status {
        let (version, heard) = self.discovery.last_list();
        let since = |at: Nanos| self.event_loop.now.saturating_sub(at) / MS;
        let (boxes, usable, connections, attempts) = self.boxes.counts();
        let mut counters = self.observers.counters;
        counters.wrong_passwords = self.clients.wrong_passwords();
        Status {
            name: self.config.name.clone(),
            pid: std::process::id(),
            started_ms: self.event_loop.clock.unix_start / MS,
            phase: self.phase(),
            generation: self.config.generation,
            revision: self.persisted.state.revision,
            drained: self.persisted.state.boxes.iter().cloned().collect(),
            list: List {
                version,
                age_ms: since(heard.unwrap_or(self.event_loop.clock.unix_start)),
                failing: self.discovery_failed,
                boxes,
                usable,
            },
            requests: self.requests.unanswered(),
            attempts,
            clients: self.clients.count(),
            connections,
            counters,
            pipelines: self.boxes.pipeline_stats(self.event_loop.now),
            leaving: self
                .boxes
                .status_page("", MAX_PAGE, true, &self.config.topology.zones, self.event_loop.now)
                .0,
        }
    }
}
