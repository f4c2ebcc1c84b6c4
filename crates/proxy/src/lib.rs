//! The real proxy round the decision module: one thread, one readiness loop.
//!
//! Sockets and timers become the module's events, its actions become bytes. Nothing here chooses where a
//! request goes, when, or whether it is tried again or refused; the proxy refuses by itself only what it has
//! no room for and the module has never seen.

mod boxes;
mod descriptors;
mod event_loop;
mod front;
mod lifecycle;
mod metrics;
mod observers;
mod platform;
mod request;
mod shadow_traffic;
mod streaming;
mod timers;

pub use observers::Subscriber;
pub use platform::config;

use boxes::Boxes;
use calicosaddle::api::*;
use calicosaddle::Balancer;
use config::Config;
use descriptors::DescriptorBudget;
use event_loop::{EventLoop, Source};
use front::admin::{self, Admin};
use front::clients::Clients;
use front::control::{Endpoint, Kept};
use mio::event::Event as Woken;
use mio::Events;
use observers::{Gates, Observers, Told};
use platform::discovery::{self, Answer, Discovery};
use platform::inherited;
use platform::signals::Signals;
use request::Table;
use shadow_traffic::ShadowTraffic;
use std::collections::VecDeque;
use std::io;
use timers::Due;

const MS: Nanos = 1_000_000;
/// How often all connections are looked over for what waits too long.
const SWEEP: Nanos = 100 * MS;
/// After SIGTERM new connections come for 0.4 s at the most: so long the proxy serves on.
const WINDOW: Nanos = 450 * MS;
/// SIGKILL comes the longest deadline and 0.7 s after SIGTERM: what is under way then ends with the process.
const LAST_CALL: Nanos = 600 * MS;
/// After descriptors ran out, the listener rests for so long.
const ACCEPT_PAUSE: Nanos = 20 * MS;
/// Descriptors for all but connections: standard streams, poll, listener, signal, discovery, some to spare.
const RESERVED: usize = 32;
/// A quarter of the memory may hold long values of commands, and as much unread answers.
const MEMORY_PART: u64 = 4;
/// Bytes read at once.
const BUFFER: usize = 64 << 10;

/// One proxy.
pub struct Proxy {
    config: Config,
    event_loop: EventLoop,
    signals: Signals,
    balancer: Balancer,
    clients: Clients,
    requests: Table,
    /// Long values that are being passed on.
    streamed_values: streaming::StreamedValues,
    descriptor_budget: DescriptorBudget,
    gates: Gates,
    observers: Observers,
    boxes: Boxes,
    discovery: Discovery,
    pending_events: VecDeque<Event>,
    actions: Vec<Action>,
    buffer: Vec<u8>,
    terminating_since: Option<Nanos>,
    /// A controller drained this instance then; nothing while it serves.
    draining_since: Option<Nanos>,
    closed_to_clients: bool,
    admin: Option<Admin>,
    control: Option<Endpoint>,
    /// Reads that are copied to boxes which are not in service yet.
    shadow_traffic: Option<ShadowTraffic>,
    persisted: Kept,
    /// Counts the changes that a watching controller is told of.
    change_count: u64,
    /// It has known a box that takes work.
    has_been_ready: bool,
    /// It was stopped when the connections were last looked over.
    was_stopped: bool,
    discovery_failed: bool,
    /// When the connections are to be looked over next.
    sweep_due: Nanos,
}

impl Proxy {
    /// Listens, and tells the module what the configuration knows.
    ///
    /// # Errors
    /// The address can't be listened at, or something that the operator's file names can't be had.
    pub fn start(
        mut config: Config,
        operator: &operator::Operator,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let inherited = config.inherited.as_deref().map(inherited::take).transpose()?;
        let event_loop = EventLoop::new()?;
        let (registry, now) = (event_loop.registry(), event_loop.now);
        let signals = Signals::listen(registry, Source::Sigterm.token(), Source::Sighup.token())?;
        let controllers = operator.control.as_ref().map_or(0, |c| c.max_connections + 1);
        let copies = operator.shadow.as_ref().map_or(0, |s| s.connections);
        let reserved = RESERVED + controllers + copies + config.admin.map_or(0, |_| admin::PLACES + 1);
        let descriptor_budget = DescriptorBudget::new(config.sockets, reserved);
        let memory = ((config.memory_mb << 20) / MEMORY_PART) as usize;
        let users = front::users(&operator.clients, &config.tenants)?;
        let hello = boxes::hello(&operator.boxes)?;
        boxes::pipes(&operator.pipeline, &config)?;
        let shadow = operator.shadow.as_ref().map(|s| shadow_traffic::settings(s, &config)).transpose()?;
        let persisted = Kept::load(operator.control.as_ref().and_then(|c| c.state_file.clone()))?;
        let mut clients = Clients::new(
            config.listen,
            inherited,
            descriptor_budget.for_clients(0),
            memory,
            users,
            operator.pipeline.clients,
        );
        let drained = persisted.state.drained;
        if !drained {
            clients.listen(registry, Source::ClientListener.token())?;
        }
        let admin =
            config.admin.map(|a| Admin::open(a, registry, Source::AdminListener.token())).transpose()?;
        let control = operator.control.as_ref();
        let control =
            control.map(|c| Endpoint::open(c, registry, Source::ControlListener.token())).transpose()?;
        let shadow_traffic = operator.shadow.as_ref().zip(shadow);
        let shadow_traffic = shadow_traffic
            .map(|(told, settings)| ShadowTraffic::new(told, settings, &config, persisted.state.shadow, now));
        let known = config.known.take();
        let version = known.as_ref().map(|k| k.version);
        let calls = std::array::from_fn(|call| Source::Discovery(call).token());
        let mut proxy = Proxy {
            signals,
            balancer: Balancer::new(config.settings.clone(), config.seed),
            clients,
            requests: Table::default(),
            streamed_values: streaming::StreamedValues::default(),
            descriptor_budget,
            gates: Gates::new(config.max_open),
            observers: Observers::default(),
            boxes: Boxes::new(
                &config,
                descriptor_budget.for_nodes(0),
                registry.try_clone()?,
                operator,
                hello,
            ),
            discovery: Discovery::new(&config, version, now, calls),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            buffer: vec![0; BUFFER],
            terminating_since: None,
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
        proxy.withdraw();
        let entries = known.map(|k| proxy.take_list(k)).unwrap_or_default();
        proxy.pending_events.push_back(Event::ServerList { kind: ListKind::Cached, entries });
        proxy.decide();
        proxy.event_loop.timers.set(now + SWEEP, Due::Sweep);
        proxy.sweep_due = now + SWEEP;
        Ok(proxy)
    }

    /// Looks at what both files say together, as a start would.
    ///
    /// # Errors
    /// The key of the operator's file that can't hold with this configuration, and why.
    pub fn check(config: &Config, operator: &operator::Operator) -> Result<(), String> {
        front::users(&operator.clients, &config.tenants)?;
        boxes::hello(&operator.boxes)?;
        operator.shadow.as_ref().map(|s| shadow_traffic::settings(s, config)).transpose()?;
        boxes::pipes(&operator.pipeline, config).map(|_| ())
    }

    /// Has what cache nodes push told to `subscriber` as well.
    pub fn subscribe(&mut self, subscriber: Box<dyn Subscriber>) {
        self.observers.subscribers.push(subscriber);
    }

    /// Serves until SIGTERM and what follows from it.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !self.done() {
            let calls = self.admin.as_ref().is_some_and(Admin::has_more);
            let more = self.clients.has_more() || self.boxes.has_more() || calls;
            let work = self.control.as_ref().and_then(Endpoint::work).into_iter().chain(self.boxes.due());
            let work = work.chain([self.discovery.due()]).min();
            if self.event_loop.wait(&mut events, work, more)? {
                self.run_iteration(&events);
            }
        }
        Ok(())
    }

    /// One turn of the loop. Cache nodes come first: a connection that has closed is not written to again.
    /// Danger: a turn may be long where a core is shared, and waits would be measured short; so the clock is
    /// read again for each socket.
    fn run_iteration(&mut self, events: &Events) {
        let closed = |event: &Woken| event.is_read_closed() || event.is_error();
        for key in self.boxes.take_again() {
            self.boxes.ready(key, true, &mut self.buffer, self.event_loop.now);
            self.process_pending();
        }
        for event in events {
            let (key, rival) = match Source::of(event) {
                Source::Node(key) => (key, false),
                Source::NodeRace(key) => (key, true),
                _ => continue,
            };
            self.event_loop.tick();
            if !rival || self.boxes.rival_ready(key, self.event_loop.now) {
                self.boxes.ready(key, closed(event), &mut self.buffer, self.event_loop.now);
            }
            self.process_pending();
        }
        self.run_timers();
        let began = self.discovery.run(self.event_loop.registry(), self.event_loop.now);
        self.discovered(began);
        self.write();
        for event in events {
            match Source::of(event) {
                Source::ClientListener => self.clients.knocked(),
                Source::Sigterm => self.signalled(),
                Source::Sighup => self.reload(),
                Source::AdminListener => self.admin.iter_mut().for_each(Admin::knocked),
                Source::ControlListener => self.control.iter_mut().for_each(Endpoint::knocked),
                Source::Discovery(_) => {
                    let answer =
                        self.discovery.ready(self.event_loop.registry(), event.token(), self.event_loop.now);
                    self.discovered(answer);
                }
                Source::Client(_)
                | Source::Node(_)
                | Source::NodeRace(_)
                | Source::ControlConnection(_)
                | Source::AdminConnection(_)
                | Source::ShadowConnection(_) => continue,
            }
            self.process_pending();
        }
        for key in self.clients.take_again() {
            self.clients.read(key, true, &self.config, &mut self.buffer, self.event_loop.now);
            self.process_pending();
        }
        for event in events {
            let Source::Client(key) = Source::of(event) else { continue };
            self.event_loop.tick();
            if event.is_writable() {
                self.clients.flush(key, self.event_loop.now);
            }
            self.clients.read(key, closed(event), &self.config, &mut self.buffer, self.event_loop.now);
            self.process_pending();
        }
        self.write();
        if self.accept().is_err() {
            // Danger: without a pause the loop would spin on a listener that it can't accept from.
            self.event_loop.timers.set(self.event_loop.now + ACCEPT_PAUSE, Due::Accept);
        }
        for event in events {
            let Source::ControlConnection(key) = Source::of(event) else { continue };
            self.control.iter_mut().for_each(|c| c.woke(key, self.event_loop.now));
        }
        for event in events {
            let Source::AdminConnection(key) = Source::of(event) else { continue };
            self.called(key);
        }
        if let Some(admin) = &mut self.admin {
            admin.accept(self.event_loop.registry(), self.event_loop.now, |key| {
                Source::AdminConnection(key).token()
            });
        }
        self.controlled();
        self.clients.admit(&self.config, self.event_loop.now);
        self.process_pending();
        self.write();
        self.clients.flush_all(self.event_loop.now);
        self.process_pending();
        self.write();
        self.run_shadow_traffic(events);
    }

    /// Writes to cache nodes what became ready since: all that one connection has in one go.
    fn write(&mut self) {
        while self.boxes.write(self.event_loop.now) {
            self.process_pending();
        }
    }

    /// Accepts clients, each with what places there are by then.
    fn accept(&mut self) -> io::Result<()> {
        let (descriptor_budget, boxes) = (self.descriptor_budget, &mut self.boxes);
        let client = |key| Source::Client(key).token();
        let limit = |clients| boxes.make_room(descriptor_budget, clients);
        self.clients.accept(self.event_loop.registry(), self.event_loop.now, client, limit)
    }

    /// Works off all that sockets told and that follows from it.
    fn process_pending(&mut self) {
        loop {
            if let Some(news) = self.boxes.news() {
                self.attempt_news(news);
            } else if let Some(news) = self.clients.news() {
                self.client_news(news);
            } else if self.pending_events.is_empty() {
                return;
            }
            self.decide();
        }
    }

    // ---- discovery ----

    fn discovered(&mut self, answer: Option<Answer>) {
        match answer {
            None => {}
            Some(Answer::News(news)) => {
                self.discovery_failed = false;
                let kind = if news.whole { ListKind::Full } else { ListKind::Delta };
                let entries = self.take_list(news);
                self.pending_events.push_back(Event::ServerList { kind, entries });
            }
            Some(Answer::Failed(e)) => {
                let row = std::mem::replace(&mut self.discovery_failed, true);
                // Only the first failure of a row is logged.
                (!row).then(|| eprintln!("discovery: {e}"));
            }
        }
    }

    fn take_list(&mut self, news: discovery::News) -> Vec<ServerEntry> {
        self.boxes.list(&news, self.event_loop.now);
        self.update_candidates();
        self.observers.tell(Told::List);
        self.change_count += 1;
        news.hosts.into_iter().map(|h| h.entry).collect()
    }

    /// Takes over the configuration file anew: the address of discovery. All else in it holds from the next
    /// start on. Guards against any file that can't be used: the old configuration stays in force then.
    ///
    /// Danger: versions of one discovery mean nothing to another, so the new one is asked for its whole list.
    fn reload(&mut self) {
        self.signals.hung_up();
        match Config::from_env() {
            Err(e) => eprintln!("reload: {e}; the configuration stays as it was"),
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

    fn discovery_address_changed(&mut self) {
        self.discovery.moved(self.config.discovery, self.event_loop.now);
        self.discovery_failed = false;
    }

    // ---- time ----

    fn run_timers(&mut self) {
        while let Some(due) = self.event_loop.timers.pop(self.event_loop.now) {
            match due {
                Due::Module(token) => self.pending_events.push_back(Event::Timer(token)),
                Due::Deadline(id) => self.deadline(id),
                Due::Attempt(id, attempt) => self.end_attempt(id, attempt, Status::Timeout),
                Due::Connect(key, serial) => self.boxes.connect_timeout(key, serial, self.event_loop.now),
                Due::Stagger(key, serial) => self.boxes.stagger(key, serial, self.event_loop.now),
                Due::Accept => self.clients.knocked(),
                Due::Copy(number) => {
                    self.shadow_traffic.iter_mut().for_each(|c| c.overdue(number, self.event_loop.now))
                }
                Due::Sweep => {
                    let late = self.event_loop.now.saturating_sub(self.sweep_due);
                    self.sweep_due = self.event_loop.now + SWEEP;
                    self.event_loop.timers.set(self.event_loop.now + SWEEP, Due::Sweep);
                    self.clients.sweep(self.event_loop.now);
                    self.boxes.sweep(self.event_loop.now);
                    if self.clients.count() < self.descriptor_budget.for_clients(self.boxes.descriptors()) {
                        // What clients leave, nodes may have again.
                        self.boxes.make_room(self.descriptor_budget, self.clients.count());
                    }
                    let answer = self.discovery.sweep(self.event_loop.registry(), self.event_loop.now);
                    self.discovered(answer);
                    self.stop();
                    self.admin.iter_mut().for_each(|a| a.sweep(self.event_loop.now));
                    self.sweep_control();
                    self.sweep_shadow_traffic(late);
                }
            }
            self.process_pending();
        }
    }

    // ---- the end ----

    fn signalled(&mut self) {
        self.signals.terminated();
        // What is copied ends with the process, at once.
        self.shadow_traffic = None;
        self.terminating_since.get_or_insert(self.event_loop.now);
        self.change_count += 1;
    }

    /// Closes the proxy to clients once the window after SIGTERM or a controller's drain is over.
    fn stop(&mut self) {
        let since = self.draining_since.into_iter().chain(self.terminating_since).min();
        if self.closed_to_clients || since.is_none_or(|at| self.event_loop.now < at + WINDOW) {
            return;
        }
        self.closed_to_clients = true;
        // Danger: what the kernel has accepted would be reset with the listener.
        self.clients.knocked();
        let _ = self.accept();
        self.clients.stop(&self.config, &mut self.buffer, self.event_loop.now);
    }

    fn done(&self) -> bool {
        self.terminating_since.is_some_and(|at| {
            (self.closed_to_clients && self.clients.is_empty())
                || self.event_loop.now >= at + self.config.longest + LAST_CALL
        })
    }
}
