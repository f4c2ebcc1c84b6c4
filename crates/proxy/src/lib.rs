//! The real proxy round the decision module: one thread, one readiness loop.
//!
//! Sockets and timers become the module's events, its actions become bytes. Nothing here chooses where a
//! request goes, when, or whether it is tried again or refused; the proxy refuses by itself only what it has
//! no room for and the module has never seen.

mod boxes;
mod copies;
mod figures;
mod front;
mod life;
mod passing;
mod path;
mod places;
mod platform;
mod request;
mod timers;
mod turn;

pub use path::Subscriber;
pub use platform::config;

use boxes::Boxes;
use calicosaddle::api::*;
use calicosaddle::Balancer;
use config::Config;
use copies::Copies;
use front::admin::{self, Admin};
use front::clients::Clients;
use front::control::{Endpoint, Kept};
use mio::event::Event as Woken;
use mio::Events;
use path::{Gates, Observers, Told};
use places::Places;
use platform::discovery::{Discovery, ListUpdate, PollResult};
use platform::inherited;
use platform::signals::Signals;
use request::Table;
use std::collections::VecDeque;
use std::io;
use timers::Due;
use turn::{Source, Turn};

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
    turn: Turn,
    signals: Signals,
    brain: Balancer,
    clients: Clients,
    requests: Table,
    /// Long values that are being passed on.
    passing: passing::Passing,
    places: Places,
    gates: Gates,
    observers: Observers,
    boxes: Boxes,
    discovery: Discovery,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    buffer: Vec<u8>,
    stopping: Option<Nanos>,
    /// A controller drained this instance then; nothing while it serves.
    draining: Option<Nanos>,
    closed: bool,
    admin: Option<Admin>,
    control: Option<Endpoint>,
    /// Reads that are copied to boxes which are not in service yet.
    copies: Option<Copies>,
    kept: Kept,
    /// Counts the changes that a watching controller is told of.
    changes: u64,
    /// It has known a box that takes work.
    started: bool,
    /// It was stopped when the connections were last looked over.
    stopped: bool,
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
        let inherited = config.inherited_listener.as_deref().map(inherited::take_listener).transpose()?;
        let turn = Turn::new()?;
        let (registry, now) = (turn.registry(), turn.now);
        let signals = Signals::listen(registry, Source::Terminate.token(), Source::Hangup.token())?;
        let controllers = operator.control.as_ref().map_or(0, |c| c.max_connections + 1);
        let copies = operator.shadow.as_ref().map_or(0, |s| s.connections);
        let reserved = RESERVED + controllers + copies + config.admin.map_or(0, |_| admin::PLACES + 1);
        let places = Places::new(config.max_descriptors, reserved);
        let memory = ((config.memory_mb << 20) / MEMORY_PART) as usize;
        let users = front::users(&operator.clients, &config.tenants)?;
        let hello = boxes::hello(&operator.boxes)?;
        boxes::pipes(&operator.pipeline, &config)?;
        let shadow = operator.shadow.as_ref().map(|s| copies::settings(s, &config)).transpose()?;
        let kept = Kept::load(operator.control.as_ref().and_then(|c| c.state_file.clone()))?;
        let mut clients = Clients::new(
            config.listen,
            inherited,
            places.for_clients(0),
            memory,
            users,
            operator.pipeline.clients,
        );
        let drained = kept.state.drained;
        if !drained {
            clients.listen(registry, Source::Listener.token())?;
        }
        let admin = config.admin.map(|a| Admin::open(a, registry, Source::Admin.token())).transpose()?;
        let control = operator.control.as_ref();
        let control = control.map(|c| Endpoint::open(c, registry, Source::Control.token())).transpose()?;
        let copies = operator.shadow.as_ref().zip(shadow);
        let copies =
            copies.map(|(told, settings)| Copies::new(told, settings, &config, kept.state.shadow, now));
        let known = config.known_list.take();
        let version = known.as_ref().map(|k| k.version);
        let calls = std::array::from_fn(|call| Source::Discovery(call).token());
        let mut proxy = Proxy {
            signals,
            brain: Balancer::new(config.settings.clone(), config.seed),
            clients,
            requests: Table::default(),
            passing: passing::Passing::default(),
            places,
            gates: Gates::new(config.max_open_requests),
            observers: Observers::default(),
            boxes: Boxes::new(&config, places.for_nodes(0), registry.try_clone()?, operator, hello),
            discovery: Discovery::new(&config, version, now, calls),
            events: VecDeque::new(),
            actions: Vec::new(),
            buffer: vec![0; BUFFER],
            stopping: None,
            draining: drained.then_some(now),
            closed: drained,
            admin,
            control,
            copies,
            kept,
            changes: 0,
            started: false,
            stopped: false,
            discovery_failed: false,
            sweep_due: now,
            turn,
            config,
        };
        proxy.withdraw();
        let entries = known.map(|k| proxy.take_list(k)).unwrap_or_default();
        proxy.events.push_back(Event::ServerList { kind: ListKind::Cached, entries });
        proxy.decide();
        proxy.turn.timers.set(now + SWEEP, Due::Sweep);
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
        operator.shadow.as_ref().map(|s| copies::settings(s, config)).transpose()?;
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
            let work = work.chain([self.discovery.next_wakeup()]).min();
            if self.turn.wait(&mut events, work, more)? {
                self.turn(&events);
            }
        }
        Ok(())
    }

    /// One turn of the loop. Cache nodes come first: a connection that has closed is not written to again.
    /// Danger: a turn may be long where a core is shared, and waits would be measured short; so the clock is
    /// read again for each socket.
    fn turn(&mut self, events: &Events) {
        let closed = |event: &Woken| event.is_read_closed() || event.is_error();
        for key in self.boxes.take_again() {
            self.boxes.ready(key, true, &mut self.buffer, self.turn.now);
            self.settle();
        }
        for event in events {
            let (key, rival) = match Source::of(event) {
                Source::Box(key) => (key, false),
                Source::Rival(key) => (key, true),
                _ => continue,
            };
            self.turn.tick();
            if !rival || self.boxes.rival_ready(key, self.turn.now) {
                self.boxes.ready(key, closed(event), &mut self.buffer, self.turn.now);
            }
            self.settle();
        }
        self.run_timers();
        let began = self.discovery.start_due_poll(self.turn.registry(), self.turn.now);
        self.discovered(began);
        self.write();
        for event in events {
            match Source::of(event) {
                Source::Listener => self.clients.knocked(),
                Source::Terminate => self.signalled(),
                Source::Hangup => self.reload(),
                Source::Admin => self.admin.iter_mut().for_each(Admin::knocked),
                Source::Control => self.control.iter_mut().for_each(Endpoint::knocked),
                Source::Discovery(_) => {
                    let answer =
                        self.discovery.handle_ready(self.turn.registry(), event.token(), self.turn.now);
                    self.discovered(answer);
                }
                Source::Client(_)
                | Source::Box(_)
                | Source::Rival(_)
                | Source::Controller(_)
                | Source::Caller(_)
                | Source::Candidate(_) => continue,
            }
            self.settle();
        }
        for key in self.clients.take_again() {
            self.clients.read(key, true, &self.config, &mut self.buffer, self.turn.now);
            self.settle();
        }
        for event in events {
            let Source::Client(key) = Source::of(event) else { continue };
            self.turn.tick();
            if event.is_writable() {
                self.clients.flush(key, self.turn.now);
            }
            self.clients.read(key, closed(event), &self.config, &mut self.buffer, self.turn.now);
            self.settle();
        }
        self.write();
        if self.accept().is_err() {
            // Danger: without a pause the loop would spin on a listener that it can't accept from.
            self.turn.timers.set(self.turn.now + ACCEPT_PAUSE, Due::Accept);
        }
        for event in events {
            let Source::Controller(key) = Source::of(event) else { continue };
            self.control.iter_mut().for_each(|c| c.woke(key, self.turn.now));
        }
        for event in events {
            let Source::Caller(key) = Source::of(event) else { continue };
            self.called(key);
        }
        if let Some(admin) = &mut self.admin {
            admin.accept(self.turn.registry(), self.turn.now, |key| Source::Caller(key).token());
        }
        self.controlled();
        self.clients.admit(&self.config, self.turn.now);
        self.settle();
        self.write();
        self.clients.flush_all(self.turn.now);
        self.settle();
        self.write();
        self.copy(events);
    }

    /// Writes to cache nodes what became ready since: all that one connection has in one go.
    fn write(&mut self) {
        while self.boxes.write(self.turn.now) {
            self.settle();
        }
    }

    /// Accepts clients, each with what places there are by then.
    fn accept(&mut self) -> io::Result<()> {
        let (places, boxes) = (self.places, &mut self.boxes);
        let client = |key| Source::Client(key).token();
        let limit = |clients| boxes.make_room(places, clients);
        self.clients.accept(self.turn.registry(), self.turn.now, client, limit)
    }

    /// Works off all that sockets told and that follows from it.
    fn settle(&mut self) {
        loop {
            if let Some(news) = self.boxes.news() {
                self.attempt_news(news);
            } else if let Some(news) = self.clients.news() {
                self.client_news(news);
            } else if self.events.is_empty() {
                return;
            }
            self.decide();
        }
    }

    // ---- discovery ----

    fn discovered(&mut self, answer: Option<PollResult>) {
        match answer {
            None => {}
            Some(PollResult::Update(news)) => {
                self.discovery_failed = false;
                let kind = if news.full { ListKind::Full } else { ListKind::Delta };
                let entries = self.take_list(news);
                self.events.push_back(Event::ServerList { kind, entries });
            }
            Some(PollResult::Failed(e)) => {
                let row = std::mem::replace(&mut self.discovery_failed, true);
                // Only the first failure of a row is logged.
                (!row).then(|| eprintln!("discovery: {e}"));
            }
        }
    }

    fn take_list(&mut self, news: ListUpdate) -> Vec<ServerEntry> {
        self.boxes.list(&news, self.turn.now);
        self.look_for_candidates();
        self.observers.tell(Told::List);
        self.changes += 1;
        news.hosts.into_iter().map(|h| h.entry).collect()
    }

    /// Takes over the configuration file anew: the address of discovery. All else in it holds from the next
    /// start on. Guards against any file that can't be used: the old configuration stays in force then.
    ///
    /// Danger: versions of one discovery mean nothing to another, so the new one is asked for its whole list.
    fn reload(&mut self) {
        self.signals.clear_hangup();
        match Config::from_env() {
            Err(e) => eprintln!("reload: {e}; the configuration stays as it was"),
            Ok(new) if new.discovery == self.config.discovery => {
                eprintln!("reload: discovery stays at {}", new.discovery);
            }
            Ok(new) => {
                eprintln!("reload: discovery is now at {}, was at {}", new.discovery, self.config.discovery);
                self.config.discovery = new.discovery;
                self.discovery_moved();
            }
        }
    }

    fn discovery_moved(&mut self) {
        self.discovery.change_address(self.config.discovery, self.turn.now);
        self.discovery_failed = false;
    }

    // ---- time ----

    fn run_timers(&mut self) {
        while let Some(due) = self.turn.timers.pop(self.turn.now) {
            match due {
                Due::Module(token) => self.events.push_back(Event::Timer(token)),
                Due::Deadline(id) => self.deadline(id),
                Due::Attempt(id, attempt) => self.end_attempt(id, attempt, Status::Timeout),
                Due::Connect(key, serial) => self.boxes.connect_timeout(key, serial, self.turn.now),
                Due::Stagger(key, serial) => self.boxes.stagger(key, serial, self.turn.now),
                Due::Accept => self.clients.knocked(),
                Due::Copy(number) => self.copies.iter_mut().for_each(|c| c.overdue(number, self.turn.now)),
                Due::Sweep => {
                    let late = self.turn.now.saturating_sub(self.sweep_due);
                    self.sweep_due = self.turn.now + SWEEP;
                    self.turn.timers.set(self.turn.now + SWEEP, Due::Sweep);
                    self.clients.sweep(self.turn.now);
                    self.boxes.sweep(self.turn.now);
                    if self.clients.count() < self.places.for_clients(self.boxes.descriptors()) {
                        // What clients leave, nodes may have again.
                        self.boxes.make_room(self.places, self.clients.count());
                    }
                    let answer = self.discovery.expire_polls(self.turn.registry(), self.turn.now);
                    self.discovered(answer);
                    self.stop();
                    self.admin.iter_mut().for_each(|a| a.sweep(self.turn.now));
                    self.sweep_control();
                    self.sweep_copies(late);
                }
            }
            self.settle();
        }
    }

    // ---- the end ----

    fn signalled(&mut self) {
        self.signals.clear_terminate();
        // What is copied ends with the process, at once.
        self.copies = None;
        self.stopping.get_or_insert(self.turn.now);
        self.changes += 1;
    }

    /// Closes the proxy to clients once the window after SIGTERM or a controller's drain is over.
    fn stop(&mut self) {
        let since = self.draining.into_iter().chain(self.stopping).min();
        if self.closed || since.is_none_or(|at| self.turn.now < at + WINDOW) {
            return;
        }
        self.closed = true;
        // Danger: what the kernel has accepted would be reset with the listener.
        self.clients.knocked();
        let _ = self.accept();
        self.clients.stop(&self.config, &mut self.buffer, self.turn.now);
    }

    fn done(&self) -> bool {
        self.stopping.is_some_and(|at| {
            (self.closed && self.clients.is_empty())
                || self.turn.now >= at + self.config.max_deadline + LAST_CALL
        })
    }
}
