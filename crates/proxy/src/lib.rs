//! The cache proxy around the balancer: one thread with one event loop.
//!
//! Input from sockets and timers becomes events for the balancer, and the balancer's actions become bytes on sockets.
//! The balancer alone decides where and when a request is sent, and whether it is retried or refused. The proxy refuses
//! a request by itself only if it has no room for it, before the balancer has seen it.

mod boxes;
mod client_ids;
mod descriptors;
mod event_loop;
mod front;
mod gates;
pub mod io_error;
mod lifecycle;
pub mod memory_limits;
mod metrics;
mod observers;
mod platform;
mod request;
mod retry_queue;
mod shadow_traffic;
pub mod shutdown;
mod streaming;
mod timers;
mod write_history;

pub use observers::Subscriber;
pub use platform::config;
pub use platform::signals::Signals;

use crate::io_error::LOCAL_RETRY_DELAY;
use boxes::Boxes;
use calicosaddle::api::*;
use calicosaddle::Balancer;
use config::Config;
use descriptors::DescriptorBudget;
use event_loop::{EventLoop, Source};
use front::admin::{self, Admin};
use front::clients::Clients;
use front::control::{ControlEndpoint, PersistentState};
use gates::Gates;
use memory_limits::MemoryLimits;
use mio::Events;
use observers::{Notification, Observers};
use platform::discovery::{Discovery, ListUpdate, PollResult};
use platform::inherited;
use platform::shared_ids::SharedIds;
use platform::start::open_at_start;
use platform::start_times::StartTimes;
use request::RequestTable;
use shadow_traffic::ShadowTraffic;
use shutdown::{Shutdown, DRAIN_WINDOW};
use std::collections::VecDeque;
use std::io;
use streaming::StreamedValues;
use timers::TimerEvent;

const MS: Nanos = 1_000_000;
/// How often all connections are checked for those that have waited too long.
const SWEEP_INTERVAL: Nanos = 100 * MS;
/// How long accepting is suspended after descriptors ran out.
const ACCEPT_PAUSE: Nanos = 20 * MS;
/// Descriptors for everything but connections: standard streams, poll, listener, signals, discovery, and some spare.
const RESERVED_DESCRIPTORS: usize = 32;
/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// The maximum number of socket events handled in an iteration.
const EVENTS_CAPACITY: usize = 1024;

/// A proxy instance.
pub struct Proxy {
    config: Config,
    event_loop: EventLoop,
    signals: Signals,
    balancer: Balancer,
    clients: Clients,
    requests: RequestTable,
    /// Long values that are being streamed to clients.
    streamed_values: StreamedValues,
    descriptor_budget: DescriptorBudget,
    gates: Gates,
    observers: Observers,
    boxes: Boxes,
    discovery: Discovery,
    /// When the processes of cache nodes were started.
    start_times: StartTimes,
    /// Events that the balancer has not seen yet.
    pending_events: VecDeque<Event>,
    /// Reused between calls of the balancer.
    actions: Vec<Action>,
    /// Reused for all reads.
    buffer: Vec<u8>,
    /// The end of the process, once SIGTERM has arrived.
    shutdown: Option<Shutdown>,
    /// When a controller drained this instance; `None` while it serves.
    draining_since: Option<Nanos>,
    /// Clients are not accepted: the drain window is over, or the instance started drained.
    closed_to_clients: bool,
    admin: Option<Admin>,
    control: Option<ControlEndpoint>,
    /// Copies of reads to cache nodes that are not in service yet.
    shadow_traffic: Option<ShadowTraffic>,
    /// State that survives a restart.
    persisted: PersistentState,
    /// Counts the changes that watching controllers are notified of.
    change_count: u64,
    /// A cache node that takes work has been known since the start.
    has_been_ready: bool,
    /// Whether the instance was in phase `Stopped` at the last sweep.
    was_stopped: bool,
    /// The last discovery poll failed.
    discovery_failed: bool,
    /// When the next sweep is due.
    sweep_due: Nanos,
}

impl Proxy {
    /// Opens the listeners, and gives the balancer the list of cache nodes from the configuration. Signals that have come since
    /// their handlers were installed are handled once the proxy runs.
    ///
    /// # Errors
    /// An address cannot be listened on, or a file or value named in the operator's file cannot be used.
    pub fn start(
        mut config: Config,
        operator: &operator::Operator,
        mut signals: Signals,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let inherited = config.inherited_listener.as_deref().map(inherited::take_listener).transpose()?;
        let shared_ids = inherited.as_ref().and_then(open_shared_ids);
        let event_loop = open_at_start(EventLoop::new)?;
        let (registry, now) = (event_loop.registry(), event_loop.now);
        open_at_start(|| signals.wake(registry, Source::Sigterm.token(), Source::Sighup.token()))?;
        let descriptor_budget =
            DescriptorBudget::new(config.max_descriptors, reserved_descriptors(&config, operator));
        let memory = MemoryLimits::new(config.memory_mb, config.max_descriptors);
        let users = front::users(&operator.clients, &config.tenants)?;
        let hello = boxes::hello_command(&operator.boxes)?;
        boxes::pipeline_config(&operator.pipeline, &config)?;
        let shadow = operator.shadow.as_ref().map(|s| shadow_traffic::settings(s, &config)).transpose()?;
        let persisted = PersistentState::load(operator.control.as_ref().and_then(|c| c.state_file.clone()))?;
        let mut clients = Clients::new(
            config.listen,
            inherited,
            descriptor_budget.for_clients(0),
            memory,
            users,
            operator.pipeline.commands_per_client,
        );
        let drained = persisted.state.drained;
        signals.finish_start();
        if !drained {
            open_at_start(|| clients.listen(registry, Source::ClientListener.token()))?;
        }
        let admin_token = Source::AdminListener.token();
        let admin = config.admin.map(|a| Admin::open(a, registry, admin_token)).transpose()?;
        let control_token = Source::ControlListener.token();
        let control = operator.control.as_ref();
        let control = control.map(|c| ControlEndpoint::open(c, registry, control_token)).transpose()?;
        let shadow_traffic = operator.shadow.as_ref().zip(shadow).map(|(operator, settings)| {
            ShadowTraffic::new(operator, settings, &config, persisted.state.shadow, now)
        });
        let known = config.known_list.take();
        let version = known.as_ref().map(|k| k.version);
        let discovery_tokens = std::array::from_fn(|poll| Source::Discovery(poll).token());
        let mut proxy = Proxy {
            signals,
            balancer: Balancer::new(config.settings.clone(), config.seed),
            clients,
            requests: RequestTable::new(shared_ids),
            streamed_values: StreamedValues::default(),
            descriptor_budget,
            gates: Gates::new(config.max_open_requests),
            observers: Observers::default(),
            boxes: Boxes::new(
                &config,
                descriptor_budget.for_nodes(0),
                registry.try_clone()?,
                operator,
                hello,
                memory.replies,
            ),
            discovery: Discovery::new(&config, version, now, discovery_tokens),
            start_times: StartTimes::default(),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            buffer: vec![0; READ_BUFFER_BYTES],
            shutdown: None,
            draining_since: drained.then_some(now),
            closed_to_clients: drained,
            admin,
            control,
            shadow_traffic,
            persisted,
            change_count: 0,
            has_been_ready: false,
            was_stopped: false,
            discovery_failed: false,
            sweep_due: now,
            event_loop,
            config,
        };
        proxy.apply_box_drains();
        let entries = known.map(|k| proxy.apply_list(k)).unwrap_or_default();
        proxy.pending_events.push_back(Event::ServerList { kind: ListKind::Cached, entries });
        proxy.decide();
        proxy.event_loop.timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        proxy.sweep_due = now + SWEEP_INTERVAL;
        Ok(proxy)
    }

    /// Validates the configuration and the operator's file together, without starting.
    ///
    /// # Errors
    /// The keys of the operator's file that are not valid with this configuration, and why.
    pub fn check(config: &Config, operator: &operator::Operator) -> Result<(), String> {
        front::users(&operator.clients, &config.tenants)?;
        boxes::hello_command(&operator.boxes)?;
        operator.shadow.as_ref().map(|s| shadow_traffic::settings(s, config)).transpose()?;
        boxes::pipeline_config(&operator.pipeline, config).map(|_| ())
    }

    /// Adds a receiver of the messages that cache nodes push.
    pub fn subscribe(&mut self, subscriber: Box<dyn Subscriber>) {
        self.observers.subscribers.push(subscriber);
    }

    /// Serves until the shutdown after SIGTERM is complete.
    ///
    /// # Errors
    /// Polling failed.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_CAPACITY);
        while !self.is_finished() {
            let has_admin_work = self.admin.as_ref().is_some_and(Admin::has_pending_work);
            let has_more = self.clients.has_pending_work() || self.boxes.has_unread_input() || has_admin_work;
            let control_due = self.control.as_ref().and_then(ControlEndpoint::work_due);
            let work_due = control_due.into_iter().chain(self.boxes.next_write_at());
            let work_due = work_due.chain([self.discovery.next_wakeup()]);
            let work_due = work_due.chain(self.clients.next_work_at()).min();
            let has_waited = self.event_loop.wait(&mut events, work_due, has_more)?;
            self.handle_signals();
            if has_waited {
                self.run_iteration(&events);
            }
        }
        Ok(())
    }

    // ---- the event loop ----

    /// Runs one iteration of the event loop. Cache nodes come first, so that nothing more is written to a connection
    /// that has closed.
    fn run_iteration(&mut self, events: &Events) {
        self.read_nodes(events);
        self.run_timers();
        let result = self.discovery.start_due_poll(self.event_loop.registry(), self.event_loop.now);
        self.handle_discovery(result);
        self.retry_discovery_transfers();
        self.write_to_nodes();
        self.handle_listeners(events);
        self.read_clients(events);
        self.write_to_nodes();
        if self.accept_clients().is_err() {
            // Without a pause the loop would spin on a listener that it cannot accept from.
            let resume_at = self.event_loop.now + ACCEPT_PAUSE;
            self.event_loop.timers.set(resume_at, TimerEvent::ResumeAccept);
        }
        self.serve_operators(events);
        self.clients.resume_waiting(&self.config, self.event_loop.now);
        self.process_pending();
        self.write_to_nodes();
        self.clients.flush_all(self.event_loop.now);
        self.process_pending();
        self.write_to_nodes();
        self.run_shadow_traffic(events);
        self.boxes.resume_waiting_for_memory(self.event_loop.now);
    }

    /// Reads from cache nodes. The clock is read again for each socket: an iteration may take long where a core is
    /// shared, and with a single reading the waiting times would come out too short.
    fn read_nodes(&mut self, events: &Events) {
        for key in self.boxes.take_unread() {
            let limit = self.clients.node_read_limit().min(READ_BUFFER_BYTES);
            self.boxes.ready(key, &mut self.buffer[..limit], self.event_loop.now);
            self.process_pending();
        }
        for event in events {
            let (key, is_race) = match Source::of(event) {
                Source::Node(key) => (key, false),
                Source::NodeRace(key) => (key, true),
                _ => continue,
            };
            self.event_loop.update_now();
            if !is_race || self.boxes.race_ready(key, self.event_loop.now) {
                let limit = self.clients.node_read_limit().min(READ_BUFFER_BYTES);
                self.boxes.ready(key, &mut self.buffer[..limit], self.event_loop.now);
            }
            self.process_pending();
        }
    }

    /// Handles the signals that have come. A signal also ends a wait early.
    fn handle_signals(&mut self) {
        if self.signals.take_terminate() {
            self.event_loop.update_now();
            eprintln!("signal: SIGTERM");
            self.handle_sigterm();
        }
        if self.signals.take_hangup() {
            self.event_loop.update_now();
            eprintln!("signal: SIGHUP");
            self.reload();
        }
    }

    /// Handles the listeners and discovery polls that are ready.
    fn handle_listeners(&mut self, events: &Events) {
        for event in events {
            match Source::of(event) {
                Source::ClientListener => self.clients.listener_ready(),
                Source::AdminListener => self.admin.iter_mut().for_each(Admin::listener_ready),
                Source::ControlListener => self.control.iter_mut().for_each(ControlEndpoint::listener_ready),
                Source::Discovery(_) => {
                    let (registry, now) = (self.event_loop.registry(), self.event_loop.now);
                    let result = self.discovery.handle_ready(registry, event.token(), now);
                    self.handle_discovery(result);
                }
                // What came is known by its flag.
                Source::Sigterm | Source::Sighup => continue,
                Source::Client(_)
                | Source::Node(_)
                | Source::NodeRace(_)
                | Source::ControlConnection(_)
                | Source::AdminConnection(_)
                | Source::ShadowConnection(_) => continue,
            }
            self.process_pending();
        }
    }

    /// Writes to clients that can take more of their answers, and reads from clients. The clock is read again for each
    /// socket, as in [`Proxy::read_nodes`].
    fn read_clients(&mut self, events: &Events) {
        self.clients.retry_transfers(self.event_loop.now);
        self.clients.refuse_overdue(self.event_loop.now);
        for key in self.clients.take_pending_reads() {
            self.clients.read(key, &self.config, &mut self.buffer, self.event_loop.now);
            self.process_pending();
        }
        for event in events {
            let Source::Client(key) = Source::of(event) else { continue };
            self.event_loop.update_now();
            if event.is_writable() {
                self.clients.flush(key, self.event_loop.now);
            }
            let now = self.event_loop.now;
            if event.is_error() {
                self.clients.connection_failed(key);
            } else if event.is_read_closed() {
                self.clients.input_ended(key, &self.config, now);
            }
            self.clients.read(key, &self.config, &mut self.buffer, now);
            self.process_pending();
        }
    }

    /// Serves the control and admin endpoints.
    fn serve_operators(&mut self, events: &Events) {
        for event in events {
            let Source::ControlConnection(key) = Source::of(event) else { continue };
            self.control.iter_mut().for_each(|c| c.connection_ready(key, self.event_loop.now));
        }
        for event in events {
            let Source::AdminConnection(key) = Source::of(event) else { continue };
            self.serve_admin_caller(key);
        }
        if let Some(admin) = &mut self.admin {
            let token = |key| Source::AdminConnection(key).token();
            admin.accept(self.event_loop.registry(), self.event_loop.now, token);
        }
        self.serve_controllers();
    }

    /// Writes to cache nodes what has become ready. Everything for one connection goes out together.
    fn write_to_nodes(&mut self) {
        while self.boxes.write_due(self.event_loop.now) {
            self.process_pending();
        }
    }

    /// Accepts clients. The limit on connections is computed again for each.
    fn accept_clients(&mut self) -> io::Result<()> {
        let (descriptor_budget, boxes) = (self.descriptor_budget, &mut self.boxes);
        let token = |key| Source::Client(key).token();
        let limit = |clients| boxes.make_room(descriptor_budget, clients);
        self.clients.accept(self.event_loop.registry(), self.event_loop.now, token, limit)
    }

    /// Processes what nodes and clients have sent and all that follows from it, until nothing is pending.
    fn process_pending(&mut self) {
        loop {
            if let Some(event) = self.boxes.next_event() {
                self.handle_attempt_event(event);
            } else if let Some(event) = self.clients.next_event() {
                self.handle_client_event(event);
            } else if self.pending_events.is_empty() {
                return;
            }
            self.decide();
        }
    }

    // ---- discovery ----

    /// Goes on with the calls to discovery that this machine had no room for.
    fn retry_discovery_transfers(&mut self) {
        let now = self.event_loop.now;
        while let Some(token) = self.discovery.due_transfer(now) {
            let result = self.discovery.handle_ready(self.event_loop.registry(), token, now);
            self.handle_discovery(result);
            self.process_pending();
        }
    }

    fn handle_discovery(&mut self, result: Option<PollResult>) {
        match result {
            None => {}
            Some(PollResult::Update(update)) => {
                self.discovery_failed = false;
                if let Some(leaving) = update.describe_leaving() {
                    eprintln!("discovery: version {}, {leaving}", update.version);
                }
                let kind = if update.full { ListKind::Full } else { ListKind::Delta };
                let entries = self.apply_list(update);
                self.pending_events.push_back(Event::ServerList { kind, entries });
            }
            Some(PollResult::Failed(e)) => {
                // Of consecutive failures only the first is logged.
                let failed_before = std::mem::replace(&mut self.discovery_failed, true);
                (!failed_before).then(|| eprintln!("discovery: {e}"));
            }
        }
    }

    /// Applies an update of the list of cache nodes. Returns its entries for the balancer.
    fn apply_list(&mut self, update: ListUpdate) -> Vec<ServerEntry> {
        self.boxes.apply_list(&update, self.event_loop.now);
        self.update_candidates();
        self.observers.notify(Notification::List);
        self.change_count += 1;
        let (unlisted_until, now) = (self.discovery.unlisted_until(), self.event_loop.now);
        let mut entries: Vec<ServerEntry> = update.hosts.into_iter().map(|h| h.entry).collect();
        entries.iter_mut().for_each(|entry| self.start_times.correct(entry, unlisted_until, now));
        entries
    }

    /// Reads the configuration file again and applies the address of discovery; all other settings take effect at the
    /// next start. If the file is not valid, the current configuration stays in force.
    fn reload(&mut self) {
        match Config::from_env() {
            Err(e) if e.is_local_shortage() => {
                let retry_at = self.event_loop.now + LOCAL_RETRY_DELAY;
                self.event_loop.timers.set(retry_at, TimerEvent::RetryReload);
            }
            Err(e) => eprintln!("reload: {e}; keeping the current configuration"),
            Ok(new) if new.discovery == self.config.discovery => {
                eprintln!("reload: discovery stays at {}", new.discovery);
            }
            Ok(new) => {
                eprintln!("reload: discovery is now at {}, was at {}", new.discovery, self.config.discovery);
                self.config.discovery = new.discovery;
                self.discovery_address_changed();
            }
        }
    }

    /// Moves discovery to the configured address. The complete list is requested from the new discovery service,
    /// because the versions of two services are not comparable.
    fn discovery_address_changed(&mut self) {
        self.discovery.change_address(self.config.discovery, self.event_loop.now);
        self.discovery_failed = false;
    }

    // ---- timers ----

    fn run_timers(&mut self) {
        while let Some(event) = self.event_loop.timers.pop_expired(self.event_loop.now) {
            let now = self.event_loop.now;
            match event {
                TimerEvent::Balancer(token) => self.pending_events.push_back(Event::Timer(token)),
                TimerEvent::RequestDeadline(id) => self.request_deadline(id),
                TimerEvent::HalfCloseGrace(id) => self.end_unwritten_attempts(id),
                TimerEvent::RepeatLimit(id) => self.end_late_repeats(id),
                TimerEvent::AttemptTimeout(id, attempt) => self.end_attempt(id, attempt, Status::Timeout),
                TimerEvent::ConnectTimeout(key, serial) => self.boxes.connect_timeout(key, serial, now),
                TimerEvent::ConnectionAttemptDelay(key, serial) => self.boxes.start_race(key, serial, now),
                TimerEvent::ResumeAccept => self.clients.listener_ready(),
                TimerEvent::RetryReload => self.reload(),
                TimerEvent::ShutdownStep => self.continue_shutdown(),
                TimerEvent::ShadowTimeout(number) => {
                    self.shadow_traffic.iter_mut().for_each(|s| s.copy_timeout(number, now));
                }
                TimerEvent::Sweep => self.sweep(),
            }
            self.process_pending();
        }
    }

    /// Checks all connections for those that have waited too long, and does other periodic work.
    fn sweep(&mut self) {
        let now = self.event_loop.now;
        let delay = now.saturating_sub(self.sweep_due);
        self.sweep_due = now + SWEEP_INTERVAL;
        self.event_loop.timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        self.clients.sweep(now);
        self.boxes.sweep(now);
        if self.clients.count() < self.descriptor_budget.for_clients(self.boxes.descriptors()) {
            // Descriptors that clients leave unused become available to nodes again.
            self.boxes.make_room(self.descriptor_budget, self.clients.count());
        }
        let result = self.discovery.expire_polls(self.event_loop.registry(), now);
        self.handle_discovery(result);
        self.close_after_drain_window();
        self.admin.iter_mut().for_each(|a| a.sweep(now));
        self.sweep_control();
        self.sweep_shadow_traffic(delay);
    }

    // ---- shutdown ----

    fn handle_sigterm(&mut self) {
        // Copying of reads stops at once.
        self.shadow_traffic = None;
        self.change_count += 1;
        if self.shutdown.is_none() {
            let shutdown = Shutdown::new(self.event_loop.now, self.config.max_deadline);
            self.shutdown = Some(shutdown);
            for at in [shutdown.since() + DRAIN_WINDOW, shutdown.gives_up_at(), shutdown.ends_at()] {
                self.event_loop.timers.set(at, TimerEvent::ShutdownStep);
            }
        }
    }

    /// Does what is due of the shutdown: closes the proxy to clients, and gives up what is still open near its end.
    fn continue_shutdown(&mut self) {
        self.close_after_drain_window();
        if self.shutdown.is_some_and(|shutdown| self.event_loop.now >= shutdown.gives_up_at()) {
            self.requests.unanswered_ids().into_iter().for_each(|id| self.give_up(id));
            self.process_pending();
            self.clients.end_all(self.event_loop.now);
        }
    }

    /// Closes the proxy to clients at the end of the window after SIGTERM or a controller's drain.
    fn close_after_drain_window(&mut self) {
        let terminating_since = self.shutdown.map(|shutdown| shutdown.since());
        let since = self.draining_since.into_iter().chain(terminating_since).min();
        if self.closed_to_clients || since.is_none_or(|at| self.event_loop.now < at + DRAIN_WINDOW) {
            return;
        }
        self.closed_to_clients = true;
        // Connections that the kernel has already accepted would be reset when the listener is closed.
        self.clients.listener_ready();
        let _ = self.accept_clients();
        self.clients.stop(&self.config, &mut self.buffer, self.event_loop.now);
    }

    fn is_finished(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| {
            let all_answered = self.closed_to_clients && self.clients.is_empty();
            all_answered || self.event_loop.now >= shutdown.ends_at()
        })
    }
}

/// Opens the table of ids that is shared with the other processes of an upgrade. Without it the process serves all the same.
fn open_shared_ids(listener: &std::net::TcpListener) -> Option<SharedIds> {
    let ids = SharedIds::open(listener);
    ids.inspect_err(|e| eprintln!("ids are not shared with other processes: {e}")).ok()
}

/// Descriptors that are not available to client and node connections.
fn reserved_descriptors(config: &Config, operator: &operator::Operator) -> usize {
    let control = operator.control.as_ref().map_or(0, |c| c.max_connections + 1);
    let shadow = operator.shadow.as_ref().map_or(0, |s| s.connections);
    let admin = config.admin.map_or(0, |_| admin::MAX_CALLERS + 1);
    RESERVED_DESCRIPTORS + control + shadow + admin
}
