//! Carries out what the fleet's choices say: files, processes, contact. One task; all else sends it messages.

use crate::journal::{Journal, JournalError};
use crate::link::{self, Ask, Heard};
use crate::process::Process;
use control::message::{Answer as Told, Page, Phase, Status};
use control::{Op, State};
use fleet::plan::{is_valid_name, DesiredInstance};
use fleet::{Action, Command, Event, Fleet, Millis, Policy, Rejection, Report, Request, Response};
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// A lease for copies of reads, and how often it is renewed.
const LEASE: Duration = Duration::from_secs(10);
const RENEW: Duration = Duration::from_secs(3);
/// The longest that copying is kept up, in milliseconds.
const LONGEST_COPYING_MS: u64 = 7 * 24 * 3_600 * 1_000;
/// An instance has so long to answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// How often time passes for the fleet's choices.
const TICK: Duration = Duration::from_millis(50);

/// A command as it comes over the API: configurations whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The whole fleet.
    Apply(Box<Desired>),
    /// Any other command.
    #[serde(untagged)]
    Plain(Command),
}

/// A fleet's file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Desired {
    /// The instances by their names.
    pub instances: BTreeMap<String, Instance>,
    /// Bounds of changes.
    #[serde(default)]
    pub policy: Policy,
}

/// An instance of a fleet's file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its zone, for the policy's bounds.
    pub zone: String,
    /// Its configuration, as NODE_CONFIG has it. `name` is set, `known` and `generation` are the agent's.
    pub config: Value,
}

/// A message to the host.
#[derive(Debug)]
pub enum Message {
    /// A contact heard something.
    Heard(String, u32, Heard),
    /// An endpoint answered a request of the fleet's.
    Answered(String, u32, Option<Response>),
    /// A command, and where what became of it goes.
    Submit {
        /// Its id.
        id: String,
        /// The generation that it was decided on.
        base: u64,
        /// Do it though it does harm.
        force: bool,
        /// Only say what would be.
        dry_run: bool,
        /// What.
        order: Order,
        /// Its generation, and for a dry run what it would change.
        answer: oneshot::Sender<Result<Value, Rejection>>,
    },
    /// How an operation stands.
    Operation(String, oneshot::Sender<Option<Value>>),
    /// The whole state.
    Fleet(oneshot::Sender<Value>),
    /// One instance with its boxes.
    Inspect(String, oneshot::Sender<Option<Value>>),
    /// Copies of reads to candidates, and where what the instances say of it goes.
    Shadow(ShadowOrder, oneshot::Sender<Result<Value, Rejection>>),
    /// End the agent; the instances run on.
    Stop,
}

/// What can be asked of copies of reads: of the named instances, or of all.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ShadowOrder {
    /// Copy for so long. The agent renews a short lease meanwhile: without it, copying ends by itself.
    Start {
        /// Number of this order; later ones are greater.
        generation: u64,
        /// How long, in milliseconds.
        for_ms: u64,
        /// Instances.
        #[serde(default)]
        names: Option<Vec<String>>,
    },
    /// Copy no more.
    Stop {
        /// Number of this order.
        generation: u64,
        /// Instances.
        #[serde(default)]
        names: Option<Vec<String>>,
    },
    /// How it stands, and what it shows.
    Status {
        /// Instances.
        #[serde(default)]
        names: Option<Vec<String>>,
    },
}

/// Copying that the agent keeps up. It is not written down: an agent that dies lets it end.
struct Copying {
    generation: u64,
    until: Instant,
    names: Vec<String>,
    renewed: Instant,
}

struct Running {
    process: Process,
    asks: mpsc::Sender<Ask>,
    status: Option<Box<Status>>,
    heard: Instant,
}

/// The host.
pub struct Host {
    folder: PathBuf,
    program: PathBuf,
    journal: Journal,
    fleet: Fleet,
    running: BTreeMap<String, Running>,
    /// Each instance's last list, and the version of the one that the fleet was told.
    known: BTreeMap<String, Value>,
    boxes_from: u64,
    copying: Option<Copying>,
    started: Instant,
    messages: mpsc::UnboundedSender<Message>,
    changed: watch::Sender<u64>,
}

fn replace(path: &Path, bytes: &[u8], sync: bool) -> io::Result<()> {
    let new = path.with_extension("new");
    fs::write(&new, bytes)?;
    if sync {
        fs::File::open(&new)?.sync_all()?;
    }
    fs::rename(&new, path)
}

impl Host {
    /// Opens the folder and its journal, and finds the instances that run. `changed` counts what is seen.
    ///
    /// # Errors
    /// The journal can't be used.
    pub fn open(
        folder: PathBuf,
        program: PathBuf,
        messages: mpsc::UnboundedSender<Message>,
        changed: watch::Sender<u64>,
    ) -> Result<Host, Box<dyn std::error::Error>> {
        fs::create_dir_all(folder.join("instances"))?;
        let (journal, plan) = Journal::open(&folder.join("journal"))?;
        let known = plan.instances.keys().filter_map(|name| {
            let text = fs::read(folder.join("instances").join(name).join("known.json")).ok()?;
            Some((name.clone(), serde_json::from_slice(&text).ok()?))
        });
        let known = known.collect();
        Ok(Host {
            fleet: Fleet::new(plan),
            journal,
            running: BTreeMap::new(),
            known,
            boxes_from: 0,
            copying: None,
            started: Instant::now(),
            folder,
            program,
            messages,
            changed,
        })
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    fn place(&self, name: &str) -> PathBuf {
        self.folder.join("instances").join(name)
    }

    fn config(&self, name: &str, generation: u64) -> PathBuf {
        self.place(name).join(format!("config-{generation}.json"))
    }

    /// Runs until it is told to stop.
    ///
    /// # Errors
    /// The journal can't be written: the agent must not go on, the instances do.
    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) -> Result<(), JournalError> {
        for (name, process) in Process::find(&self.folder) {
            self.adopt(name, process)?;
        }
        let known: Vec<Value> = self.known.values().cloned().collect();
        known.iter().for_each(|k| self.boxes(k));
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    None | Some(Message::Stop) => return Ok(()),
                    Some(message) => self.take(message)?,
                },
                _ = tick.tick() => {
                    self.look()?;
                    self.renew();
                    self.event(Event::Tick)?;
                }
            }
        }
    }

    /// Looks which processes have ended: one call for all of them.
    fn look(&mut self) -> Result<(), JournalError> {
        let ended = Process::ended(self.running.values().map(|r| &r.process));
        let names: Vec<String> = self.running.keys().cloned().collect();
        for (name, _) in names.into_iter().zip(ended).filter(|(_, ended)| *ended) {
            if let Some(mut running) = self.running.remove(&name) {
                let reason = running.process.end();
                eprintln!("{name}: process {} ended: {reason}", running.process.pid);
                self.event(Event::Exited { name, reason })?;
                self.changed.send_modify(|n| *n += 1);
            }
        }
        Ok(())
    }

    fn take(&mut self, message: Message) -> Result<(), JournalError> {
        let current =
            |host: &Host, name: &str, pid: u32| host.running.get(name).is_some_and(|r| r.process.pid == pid);
        match message {
            Message::Heard(name, pid, heard) if current(self, &name, pid) => self.heard(name, heard)?,
            Message::Answered(name, pid, answer) if current(self, &name, pid) => {
                self.event(match answer {
                    Some(response) => Event::Responded { name, response },
                    None => Event::ContactLost { name },
                })?
            }
            Message::Heard(..) | Message::Answered(..) | Message::Stop => {}
            Message::Submit { id, base, force, dry_run, order, answer } => {
                let done = self.submit(&id, base, force, dry_run, order)?;
                let _ = answer.send(done);
            }
            Message::Operation(id, answer) => {
                let state = self.fleet.operation_status(&id).map(|s| json!({"id": id, "state": s}));
                let _ = answer.send(state);
            }
            Message::Fleet(answer) => {
                let _ = answer.send(self.describe());
            }
            Message::Inspect(name, answer) => self.inspect(&name, answer),
            Message::Shadow(order, answer) => self.shadow(order, answer),
        }
        self.changed.send_modify(|n| *n += 1);
        Ok(())
    }

    fn event(&mut self, event: Event) -> Result<(), JournalError> {
        let mut actions = Vec::new();
        self.fleet.handle(self.now(), event, &mut actions);
        self.act(actions)
    }

    fn act(&mut self, actions: Vec<Action>) -> Result<(), JournalError> {
        for action in actions {
            match action {
                Action::WriteJournal(records) => {
                    self.journal.write(&records, self.fleet.plan())?;
                    crash_point();
                    self.changed.send_modify(|n| *n += 1);
                }
                Action::Start { name, generation, incarnation, revision, drained } => {
                    // One that was started by an agent that died at that very moment.
                    if let Some((name, process)) =
                        Process::find(&self.folder).into_iter().find(|(n, _)| *n == name)
                    {
                        self.adopt(name, process)?;
                        continue;
                    }
                    match self.start(&name, generation, incarnation, revision, drained) {
                        Ok(process) => {
                            crash_point();
                            eprintln!("{name}: started as process {}, generation {generation}", process.pid);
                            self.adopt(name, process)?;
                        }
                        Err(e) => {
                            eprintln!("{name}: can't be started: {e}");
                            self.event(Event::StartFailed {
                                name,
                                reason: format!("can't be started: {e}"),
                            })?;
                        }
                    }
                }
                Action::Terminate(name) => self.signal(&name, Signal::TERM),
                Action::Kill(name) => self.signal(&name, Signal::KILL),
                Action::SendRequest { name, request } => self.send(name, request),
            }
        }
        Ok(())
    }

    fn signal(&self, name: &str, signal: Signal) {
        if let Some(running) = self.running.get(name) {
            eprintln!("{name}: process {} is sent {signal:?}", running.process.pid);
            running.process.signal(signal);
        }
    }

    // ---- instances ----

    /// Writes the files of an instance and starts it: the last list that it had, and the drained boxes in force
    /// before it serves.
    fn start(
        &self,
        name: &str,
        generation: u64,
        incarnation: u64,
        revision: u64,
        drained: bool,
    ) -> io::Result<Process> {
        let folder = self.place(name);
        fs::create_dir_all(&folder)?;
        let text = fs::read(self.config(name, generation))?;
        let mut config: Value = serde_json::from_slice(&text)?;
        (config["name"], config["generation"]) = (json!(name), json!(generation));
        if let Some(known) = self.known.get(name) {
            config["known"] = known.clone();
        }
        replace(&folder.join("config.json"), config.to_string().as_bytes(), false)?;
        let state_file = folder.join("state");
        let operator = format!(
            "{}\n[control]\nsocket = {}\nstate_file = {}\n",
            config["operator"].as_str().unwrap_or("version = 1\n"),
            json!(link::socket(&folder)),
            json!(state_file)
        );
        replace(&folder.join("operator.toml"), operator.as_bytes(), false)?;
        let boxes = self.fleet.plan().drained_boxes.clone();
        // What stopped copies of reads at the process before is the instance's own to remember.
        let before = fs::read_to_string(&state_file).ok().and_then(|t| State::decode(&t).ok());
        let state = State { revision, boxes, drained, ..before.unwrap_or_default() };
        replace(&state_file, state.encode().as_bytes(), false)?;
        Process::start(&self.program, &self.folder, &folder, name, incarnation)
    }

    fn adopt(&mut self, name: String, process: Process) -> Result<(), JournalError> {
        let (pid, incarnation) = (process.pid, process.incarnation);
        if let Some(other) = self.running.get(&name) {
            // Two of one name can't both listen: the one that is known stays.
            eprintln!("{name}: process {pid} is one too many beside {}", other.process.pid);
            process.signal(Signal::KILL);
            return Ok(());
        }
        let (asks, asked) = mpsc::channel(64);
        let (messages, to) = (self.messages.clone(), name.clone());
        let tell = move |heard| messages.send(Message::Heard(to.clone(), pid, heard)).is_ok();
        tokio::spawn(link::keep(link::socket(&self.place(&name)), asked, tell));
        let running = Running { process, asks, status: None, heard: Instant::now() };
        self.running.insert(name.clone(), running);
        self.event(Event::Running { name, pid, incarnation })
    }

    fn heard(&mut self, name: String, heard: Heard) -> Result<(), JournalError> {
        match heard {
            Heard::Status(status) => {
                let Some(running) = self.running.get_mut(&name) else { return Ok(()) };
                // Danger: another process on the same path would pass for this one.
                if status.pid != running.process.pid {
                    return Ok(());
                }
                let leaving = matches!(status.phase, Phase::Draining | Phase::Stopped);
                let report = Report {
                    ready: status.phase == Phase::Ready || (leaving && status.list.usable > 0),
                    drained: leaving,
                    generation: status.generation,
                    revision: status.revision,
                };
                (running.status, running.heard) = (Some(status), Instant::now());
                self.event(Event::Reported { name, report })
            }
            Heard::Known(known) => {
                self.boxes(&known);
                let path = self.place(&name).join("known.json");
                if let Err(e) = replace(&path, known.to_string().as_bytes(), false) {
                    eprintln!("{}: {e}", path.display());
                }
                self.known.insert(name, known);
                Ok(())
            }
            Heard::Silent => self.event(Event::ContactLost { name }),
        }
    }

    /// Tells the fleet of the boxes of the newest list.
    fn boxes(&mut self, known: &Value) {
        let version = known["seq"].as_u64().unwrap_or(0);
        if version < self.boxes_from {
            return;
        }
        self.boxes_from = version;
        let hosts = known["hosts"].as_array().map(Vec::as_slice).unwrap_or_default();
        let one = |h: &Value| {
            let zone = h["site"].as_str().unwrap_or_default().to_owned();
            Some((h["host"].as_str()?.to_owned(), (zone, h["health"] == "up")))
        };
        let boxes = hosts.iter().filter_map(one).collect();
        self.fleet.handle(self.now(), Event::BoxesUpdated(boxes), &mut Vec::new());
    }

    fn send(&self, name: String, request: Request) {
        let Some(running) = self.running.get(&name) else { return };
        let (messages, pid) = (self.messages.clone(), running.process.pid);
        let plan = self.fleet.plan();
        let op = match request {
            Request::SetDrained { revision } => {
                Op::SetDrained { revision, boxes: plan.drained_boxes.iter().cloned().collect() }
            }
            Request::Drain => Op::Drain,
            Request::Undrain => Op::Undrain,
            Request::Reconfigure { generation } => {
                let text = fs::read(self.config(&name, generation)).map_err(|e| e.to_string());
                let config =
                    text.and_then(|t| serde_json::from_slice::<Value>(&t).map_err(|e| e.to_string()));
                match config {
                    Ok(mut config) => {
                        config["name"] = json!(name);
                        Op::Reconfigure { generation, config: Box::new(config), dry_run: false }
                    }
                    Err(why) => {
                        let _ = messages.send(Message::Answered(name, pid, Some(Response::Rejected(why))));
                        return;
                    }
                }
            }
        };
        let asked = self.ask(&name, op);
        tokio::spawn(async move {
            let answered = match asked {
                Some(answered) => answered.await.ok(),
                None => None,
            };
            let answer = answered.map(|told| match told {
                Ok(Told::Reconfigured(r)) if !r.applied => Response::RestartRequired,
                Ok(_) => Response::Applied,
                Err(e) => Response::Rejected(e.message),
            });
            let _ = messages.send(Message::Answered(name, pid, answer));
        });
    }

    // ---- copies of reads ----

    fn shadow(&mut self, order: ShadowOrder, answer: oneshot::Sender<Result<Value, Rejection>>) {
        let named = |names: Option<Vec<String>>| -> Result<Vec<String>, Rejection> {
            let all = &self.fleet.plan().instances;
            let names = names.unwrap_or_else(|| all.keys().cloned().collect());
            match names.iter().find(|n| !all.contains_key(*n)) {
                Some(unknown) => Err(Rejection::Invalid(format!("there is no instance {unknown:?}"))),
                None => Ok(names),
            }
        };
        let checked = match order {
            ShadowOrder::Start { for_ms, .. } if !(1_000..=LONGEST_COPYING_MS).contains(&for_ms) => {
                let what = format!("for_ms is {for_ms}; 1000 to {LONGEST_COPYING_MS} is allowed");
                Err(Rejection::Invalid(what))
            }
            ShadowOrder::Start { generation, for_ms, names } => named(names).map(|names| {
                let length = Duration::from_millis(for_ms);
                let op = Op::ShadowStart { generation, lease_ms: LEASE.min(length).as_millis() as u64 };
                (op, names, Some((generation, length)))
            }),
            ShadowOrder::Stop { generation, names } => {
                named(names).map(|names| (Op::ShadowStop { generation }, names, None))
            }
            ShadowOrder::Status { names } => named(names).map(|names| (Op::ShadowStatus, names, None)),
        };
        let (op, names, started) = match checked {
            Ok(checked) => checked,
            Err(why) => return drop(answer.send(Err(why))),
        };
        let now = Instant::now();
        if let Some((generation, length)) = started {
            // One order is kept up at a time: instances that it does not name end with their lease.
            let names = names.clone();
            self.copying = Some(Copying { generation, until: now + length, names, renewed: now });
        } else if matches!(op, Op::ShadowStop { .. }) {
            self.copying.iter_mut().for_each(|c| c.names.retain(|n| !names.contains(n)));
        }
        let asked: Vec<_> = names.into_iter().map(|name| (self.ask(&name, op.clone()), name)).collect();
        tokio::spawn(async move {
            let mut told = serde_json::Map::new();
            for (answered, name) in asked {
                let away = || json!({"error": {"code": "away", "message": "the instance does not answer"}});
                let one = match answered {
                    None => away(),
                    Some(answered) => match tokio::time::timeout(PATIENCE, answered).await {
                        Ok(Ok(Ok(done))) => json!({"ok": done}),
                        Ok(Ok(Err(e))) => json!({"error": e}),
                        Ok(Err(_)) | Err(_) => away(),
                    },
                };
                told.insert(name, one);
            }
            let _ = answer.send(Ok(json!({"instances": told})));
        });
    }

    /// Asks a running instance.
    fn ask(&self, name: &str, op: Op) -> Option<oneshot::Receiver<Result<Told, control::Error>>> {
        let (to, answered) = oneshot::channel();
        self.running.get(name)?.asks.try_send((op, to)).ok().map(|()| answered)
    }

    /// Keeps the instances copying for as long as that was ordered.
    fn renew(&mut self) {
        let now = Instant::now();
        let Some(copying) = &mut self.copying else { return };
        let left = copying.until.saturating_duration_since(now);
        if left < Duration::from_secs(1) || copying.names.is_empty() {
            self.copying = None;
            return;
        }
        if now.duration_since(copying.renewed) < RENEW {
            return;
        }
        copying.renewed = now;
        let (generation, lease_ms) = (copying.generation, LEASE.min(left).as_millis() as u64);
        let names = copying.names.clone();
        // One that has stopped by itself refuses; that is its own to say.
        names.iter().for_each(|name| drop(self.ask(name, Op::ShadowStart { generation, lease_ms })));
    }

    // ---- commands ----

    fn submit(
        &mut self,
        id: &str,
        base: u64,
        force: bool,
        dry_run: bool,
        order: Order,
    ) -> Result<Result<Value, Rejection>, JournalError> {
        if id.is_empty() || id.len() > 128 {
            return Ok(Err(Rejection::Invalid("id must have 1 to 128 bytes".into())));
        }
        let (command, changes) = match order {
            Order::Plain(Command::Apply { .. }) => {
                return Ok(Err(Rejection::Invalid("apply wants each instance's config".into())))
            }
            Order::Plain(command) => (command, Vec::new()),
            Order::Apply(desired) => match self.number(*desired, dry_run) {
                Ok(numbered) => numbered,
                Err(rejection) => return Ok(Err(rejection)),
            },
        };
        if dry_run {
            let checked = self.fleet.validate(&command, force);
            return Ok(
                checked.map(|()| json!({"generation": self.fleet.plan().generation, "changes": changes}))
            );
        }
        let mut actions = Vec::new();
        let done = self.fleet.submit(self.now(), id, base, force, command, &mut actions);
        self.act(actions)?;
        Ok(done.map(|generation| json!({"id": id, "generation": generation, "changes": changes})))
    }

    /// Numbers the configurations of a fleet's file: the same one keeps its number, a new one is written down
    /// under the next. Also what is changed, for people.
    fn number(&self, desired: Desired, dry_run: bool) -> Result<(Command, Vec<String>), Rejection> {
        let plan = self.fleet.plan();
        let mut changes = Vec::new();
        let mut instances = BTreeMap::new();
        for (name, instance) in desired.instances {
            let invalid = |what: String| Rejection::Invalid(format!("{name}: {what}"));
            if !is_valid_name(&name) {
                return Err(invalid("is no name: 1 to 64 of a-z A-Z 0-9 - _ ., not first .".into()));
            }
            let length = link::socket(&self.place(&name)).as_os_str().len();
            if length > 107 {
                return Err(invalid(format!(
                    "its socket's path would have {length} bytes; 107 are the most"
                )));
            }
            if !instance.config.is_object() {
                return Err(invalid("its config is no object".into()));
            }
            let mut config = instance.config;
            // What is the agent's own to say.
            if let Some(fields) = config.as_object_mut() {
                fields.remove("generation");
                fields.insert("name".into(), json!(name));
            }
            let now = plan.instances.get(&name);
            let same = |generation: u64| {
                let old = fs::read(self.config(&name, generation)).ok()?;
                (serde_json::from_slice::<Value>(&old).ok()? == config).then_some(generation)
            };
            let last = (1..).take_while(|g| self.config(&name, *g).exists()).last().unwrap_or(0);
            let generation = match now.and_then(|i| same(i.generation)).or_else(|| same(last)) {
                Some(generation) => generation,
                None => {
                    if !dry_run {
                        let write = fs::create_dir_all(self.place(&name)).and_then(|()| {
                            replace(&self.config(&name, last + 1), config.to_string().as_bytes(), true)
                        });
                        write.map_err(|e| invalid(format!("its config can't be written: {e}")))?;
                    }
                    last + 1
                }
            };
            match now {
                None => changes.push(format!("+ {name}: new in {}", instance.zone)),
                Some(i) if i.generation != generation => {
                    changes.push(format!("~ {name}: configuration {} -> {generation}", i.generation));
                }
                Some(_) => {}
            }
            instances.insert(name, DesiredInstance { zone: instance.zone, generation });
        }
        let gone = plan.instances.keys().filter(|n| !instances.contains_key(*n));
        changes.extend(gone.map(|n| format!("- {n}: ends")));
        if plan.policy != desired.policy {
            changes.push("~ policy".into());
        }
        Ok((Command::Apply { instances, policy: desired.policy }, changes))
    }

    // ---- what is told ----

    fn describe(&self) -> Value {
        let plan = self.fleet.plan();
        let instances: BTreeMap<&String, Value> =
            plan.instances.keys().map(|name| (name, self.describe_one(name))).collect();
        let rollout = plan.rollout.as_ref().map(|r| {
            json!({"id": r.id, "state": r.state, "summary": r.summary(), "open": r.state.is_active(),
                "done": r.done.len(), "all": r.targets.len(), "current": r.current, "failed": r.failed})
        });
        json!({"generation": plan.generation, "revision": plan.revision, "drained_boxes": plan.drained_boxes,
            "policy": plan.policy, "rollout": rollout, "instances": instances})
    }

    fn describe_one(&self, name: &str) -> Value {
        let Some(intent) = self.fleet.plan().instances.get(name) else { return Value::Null };
        let seen = self.fleet.observed(name);
        let running = self.running.get(name);
        let status = running.and_then(|r| r.status.as_ref());
        let contact = seen.is_some_and(|s| s.connected);
        let state = match (running, status, contact) {
            (None, ..) if !intent.running => "down",
            (None, ..) if seen.is_some_and(|s| s.consecutive_crashes > 0) => "backing-off",
            (None, ..) => "starting",
            (Some(_), None, _) => "starting",
            (Some(_), Some(_), false) => "unknown",
            (Some(_), Some(s), true) => match s.phase {
                Phase::Starting => "starting",
                Phase::Ready => "ready",
                Phase::Draining => "draining",
                Phase::Stopped => "drained",
            },
        };
        json!({
            "state": state, "zone": intent.zone, "running": intent.running, "drained": intent.drained,
            "wanted_generation": intent.generation, "incarnation": intent.incarnation,
            "pid": running.map(|r| r.process.pid), "generation": status.map(|s| s.generation),
            "revision": status.map(|s| s.revision), "list": status.map(|s| &s.list),
            "requests": status.map(|s| s.requests), "counters": status.map(|s| &s.counters),
            "heard_ms": running.map(|r| r.heard.elapsed().as_millis() as u64),
            "crashes": seen.map_or(0, |s| s.consecutive_crashes), "trouble": seen.and_then(|s| s.last_error.clone()),
        })
    }

    fn inspect(&self, name: &str, answer: oneshot::Sender<Option<Value>>) {
        let mut told = self.describe_one(name);
        if told.is_null() {
            let _ = answer.send(None);
            return;
        }
        told["status"] = json!(self.running.get(name).and_then(|r| r.status.as_ref()));
        let Some(running) = self.running.get(name) else {
            let _ = answer.send(Some(told));
            return;
        };
        let asks = running.asks.clone();
        tokio::spawn(async move {
            let (mut boxes, mut after) = (Vec::new(), String::new());
            // An instance that does not speak is told without its boxes.
            loop {
                let (to, answered) = oneshot::channel();
                let ask = (Op::Boxes { after: after.clone(), limit: None }, to);
                if asks.try_send(ask).is_err() {
                    break;
                }
                let Ok(Ok(Ok(Told::Boxes(Page { boxes: page, more })))) =
                    tokio::time::timeout(PATIENCE, answered).await
                else {
                    break;
                };
                after = page.last().map(|b| b.name.clone()).unwrap_or_default();
                boxes.extend(page);
                if !more {
                    told["boxes"] = json!(boxes);
                    break;
                }
            }
            let _ = answer.send(Some(told));
        });
    }
}

/// For tests: the agent dies here when TRESTLE_AGENT_DIES is down to zero, as by SIGKILL.
fn crash_point() {
    use std::sync::atomic::{AtomicI64, Ordering};
    use std::sync::OnceLock;
    static LEFT: OnceLock<AtomicI64> = OnceLock::new();
    let left = LEFT.get_or_init(|| {
        let told = std::env::var("TRESTLE_AGENT_DIES").ok().and_then(|n| n.parse().ok());
        AtomicI64::new(told.unwrap_or(i64::MAX))
    });
    if left.fetch_sub(1, Ordering::Relaxed) == 0 {
        let _ = rustix::process::kill_process(rustix::process::getpid(), Signal::KILL);
        std::thread::sleep(Duration::from_secs(10));
    }
}
