//! Executes the operations of controllers and admin callers: status, drains of boxes and of the proxy itself, shadow
//! traffic, and new configurations. Everything that affects where requests go reaches the balancer as an event.

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

/// The assumed size of a listed host in a reply, in bytes.
const HOST_BYTES: usize = 512;

impl Proxy {
    /// Executes the requests of controllers, unless the endpoint is pausing.
    pub(crate) fn serve_controllers(&mut self) {
        let Some(mut endpoint) = self.control.take() else { return };
        let started_at = self.event_loop.clock.now();
        if endpoint.work_due().is_some_and(|due| due <= started_at) {
            self.event_loop.now = started_at;
            let registry = self.event_loop.registry();
            let requests = endpoint.take_requests(
                registry,
                |key| Source::ControlConnection(key).token(),
                &mut self.buffer,
                started_at,
            );
            for (key, request) in requests {
                let (id, result) = match request {
                    Err((id, error)) => (id, Err(error)),
                    Ok(Request { id, op: Op::Watch { every_ms }, .. }) => {
                        let answer = watch_interval(every_ms).map(|interval| {
                            endpoint.watch(key, id.clone(), interval, self.change_count, started_at);
                            Answer::Status(Box::new(self.status()))
                        });
                        (id, answer)
                    }
                    Ok(Request { id, op, .. }) => (id, self.execute_op(op)),
                };
                self.process_pending();
                match result {
                    Ok(answer) => endpoint.reply(key, id, Body::Ok(answer), started_at),
                    Err(error) => endpoint.error(key, id, error, started_at),
                }
            }
            endpoint.notify_watchers(self.change_count, || self.status(), started_at);
            endpoint.record_work(started_at, self.event_loop.clock.now());
        }
        self.control = Some(endpoint);
    }

    /// Notifies watchers of changes, and disconnects controllers that have exceeded a time limit.
    pub(crate) fn sweep_control(&mut self) {
        if !self.has_been_ready && self.boxes.counts().usable > 0 {
            self.has_been_ready = true;
            self.change_count += 1;
        }
        let Some(mut endpoint) = self.control.take() else { return };
        // A drained proxy stops without a request from a controller, when its last client disconnects.
        let is_stopped = self.phase() == Phase::Stopped;
        if std::mem::replace(&mut self.was_stopped, is_stopped) != is_stopped {
            self.change_count += 1;
        }
        endpoint.sweep(self.event_loop.now);
        endpoint.notify_watchers(self.change_count, || self.status(), self.event_loop.now);
        self.control = Some(endpoint);
    }

    fn execute_op(&mut self, op: Op) -> Result<Answer, Error> {
        if self.shutdown.is_some() && requires_running_proxy(&op) {
            return Err(Error::new(Code::Stopping, "the instance is terminating; nothing changed"));
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

    /// The list of cache nodes in discovery's format and version, with which the next process may start.
    fn known_list(&self) -> Value {
        let Some(version) = self.discovery.last_list().0 else { return Value::Null };
        let hosts = self.boxes.hosts(&self.config.topology);
        // A reply above the frame limit would end the connection.
        if hosts.len() > MAX_REPLY / HOST_BYTES {
            return Value::Null;
        }
        json!({"seq": version, "whole": true, "hosts": hosts})
    }

    /// Executes an order for shadow traffic, and returns its state after that.
    fn run_shadow_order(
        &mut self,
        order: impl FnOnce(&mut ShadowTraffic, Nanos) -> Result<(), Error>,
    ) -> Result<Answer, Error> {
        let Some(shadow_traffic) = &mut self.shadow_traffic else {
            return Err(Error::new(Code::BadRequest, "the operator's file has no [shadow]"));
        };
        order(shadow_traffic, self.event_loop.now)?;
        self.update_candidates();
        self.persist_shadow_state();
        let copies = self.shadow_traffic.as_ref().map(|c| c.status(&self.config.classes));
        copies.map(|c| Answer::Shadow(Box::new(c))).ok_or_else(|| Error::new(Code::Stopping, "it ends"))
    }

    // ---- drains ----

    /// Stores a changed state and puts its drains in force.
    fn store_state(&mut self, change: Option<State>) -> Result<(), Error> {
        if let Some(state) = change {
            self.persisted.store(state)?;
            self.change_count += 1;
            self.apply_box_drains();
        }
        Ok(())
    }

    /// Applies the drains of boxes that operators requested: to requests waiting to be written, and to the choices of the
    /// balancer.
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
        let old_state = self.persisted.state.clone();
        self.persisted.store(State { drained: false, ..old_state.clone() })?;
        if self.closed_to_clients {
            if let Err(e) = self.clients.listen(self.event_loop.registry(), Source::ClientListener.token()) {
                // The old state is restored: otherwise a restarted process would accept clients although the controller
                // is informed that the proxy is still drained.
                self.persisted.store(old_state)?;
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
        let is_unchanged = changes.is_empty() && needs_restart.is_empty();
        let is_next = should_apply("generation", self.config.generation, generation, is_unchanged)?;
        let is_applicable = needs_restart.is_empty();
        if is_applicable && is_next && !dry_run {
            let (address_changed, settings_changed) =
                (new.discovery != self.config.discovery, new.settings != self.config.settings);
            new.generation = generation;
            self.config.apply(new);
            self.discovery.configure((&self.config.settings).into());
            self.boxes.configure(&self.config);
            self.gates = Gates::new(self.config.max_open_requests);
            self.shadow_traffic.iter_mut().for_each(|c| c.set_proxies(&self.config));
            if settings_changed {
                self.pending_events.push_back(Event::Settings(Box::new(self.config.settings.clone())));
            }
            if address_changed {
                self.discovery_address_changed();
            }
            self.change_count += 1;
        }
        let changes = changes.into_iter().chain(needs_restart.iter().cloned()).collect();
        Ok(Reconfigured {
            generation: self.config.generation,
            applied: is_applicable,
            changes,
            needs_restart,
        })
    }

    // ---- state ----

    /// The phase that controllers see.
    pub(crate) fn phase(&self) -> Phase {
        let is_leaving = self.draining_since.is_some() || self.shutdown.is_some();
        match (is_leaving, self.closed_to_clients && self.clients.is_empty()) {
            (true, true) => Phase::Stopped,
            (true, false) => Phase::Draining,
            (false, _) if self.has_been_ready || self.boxes.counts().usable > 0 => Phase::Ready,
            (false, _) => Phase::Starting,
        }
    }

    /// Reads the command of an admin caller and answers it.
    pub(crate) fn serve_admin_caller(&mut self, key: usize) {
        let Some(command) = self.admin.as_mut().and_then(|a| a.read_command(key, &mut self.buffer)) else {
            return;
        };
        let answer = match command {
            // Without an open listener no clients are accepted.
            Ok(AdminCommand::Ready) if self.closed_to_clients || self.shutdown.is_some() => {
                "error not ready\n".to_owned()
            }
            Ok(AdminCommand::Ready) => "done\n".to_owned(),
            Ok(AdminCommand::ShowStat) => self.metrics_text() + "end\n",
            Err(reason) => format!("error {reason}\n"),
        };
        self.admin.iter_mut().for_each(|a| a.answer(key, &answer));
    }

    /// All metrics, in text form.
    fn metrics_text(&self) -> String {
        let gauges = Gauges {
            backend_calls: self.boxes.attempts_written(),
            inflight: self.requests.unanswered() + self.streamed_values.len(),
            hosts_listed: self.boxes.counts().listed,
            hosts_down: self.balancer.unavailable_servers(self.event_loop.now),
        };
        self.observers.metrics.write(&self.config.classes, &gauges)
    }

    /// The status that controllers see.
    pub(crate) fn status(&self) -> Status {
        let (version, updated_at) = self.discovery.last_list();
        let age_ms = |since: Nanos| self.event_loop.now.saturating_sub(since) / MS;
        let counts = self.boxes.counts();
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
                age_ms: age_ms(updated_at.unwrap_or(self.event_loop.clock.unix_start)),
                failing: self.discovery_failed,
                boxes: counts.listed,
                usable: counts.usable,
                calls: self.discovery.calls(),
            },
            requests: self.requests.unanswered(),
            attempts: counts.attempts,
            clients: self.clients.count(),
            connections: counts.connections,
            counters,
            pipelines: self.boxes.pipeline_stats(self.event_loop.now),
            leaving: self
                .boxes
                .status_page("", MAX_PAGE, true, &self.config.topology.zones, self.event_loop.now)
                .0,
        }
    }
}
