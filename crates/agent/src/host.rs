//! Carries out the actions of the fleet's state machine on files, processes and control connections. The host runs as
//! one task; all other tasks send it messages.

use crate::journal::{Journal, JournalError};
use crate::link::{self, ContactEvent, ControlRequest};
use crate::process::Process;
use control::message::{Answer as ControlAnswer, Page, Phase, Status};
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

/// Lease of shadow traffic on an instance.
const SHADOW_LEASE: Duration = Duration::from_secs(10);
/// Interval at which the lease is renewed.
const SHADOW_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum duration of shadow traffic.
const MAX_SHADOW_DURATION_MS: u64 = 7 * 24 * 3_600 * 1_000;
/// Time within which an instance must respond to a control request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum length of the path of a Unix-domain socket: the kernel's 108 bytes include a terminating zero.
const MAX_SOCKET_PATH_BYTES: usize = 107;
const MAX_OPERATION_ID_BYTES: usize = 128;

/// A command as submitted over the API. An `apply` command contains the whole configurations.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetCommand {
    /// Replaces the whole fleet by that of a fleet file.
    Apply(Box<FleetFile>),
    /// Any other command.
    #[serde(untagged)]
    Plain(Command),
}

/// Content of a fleet file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Instances by name.
    pub instances: BTreeMap<String, InstanceFile>,
    /// Limits on the speed of changes.
    #[serde(default)]
    pub policy: Policy,
}

/// An instance of a fleet file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceFile {
    /// Zone; the policy limits unavailable instances by zone.
    pub zone: String,
    /// Configuration in the format of the file named by `NODE_CONFIG`. The agent sets `name`, `known` and `generation`.
    pub config: Value,
}

/// A message to the host.
#[derive(Debug)]
pub enum Message {
    /// An event of the control connection to the process with this id of an instance.
    Contact(String, u32, ContactEvent),
    /// Response of the process with this id to a request of the fleet; `None` if the connection was lost.
    Responded(String, u32, Option<Response>),
    /// Submits a command.
    Submit {
        /// Operation id.
        id: String,
        /// Generation of the fleet on which the command is based.
        base: u64,
        /// Accept the command even if it interrupts service.
        force: bool,
        /// Only report the changes that the command would make.
        dry_run: bool,
        /// The command.
        command: FleetCommand,
        /// Receives the new generation and the changes.
        answer: oneshot::Sender<Result<Value, Rejection>>,
    },
    /// Requests the status of an operation.
    Operation(String, oneshot::Sender<Option<Value>>),
    /// Requests the state of the whole fleet.
    Fleet(oneshot::Sender<Value>),
    /// Requests the state of one instance with its boxes.
    Inspect(String, oneshot::Sender<Option<Value>>),
    /// Controls shadow traffic and requests the responses of the instances.
    Shadow(ShadowCommand, oneshot::Sender<Result<Value, Rejection>>),
    /// Stops the agent; the instances keep running.
    Stop,
}

/// A command for shadow traffic, which copies reads to candidate nodes. It applies to the named instances, or to all.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ShadowCommand {
    /// Starts copying. The agent renews a short lease, so that copying stops if the agent exits.
    Start {
        /// Generation of this command, which must increase with each command.
        generation: u64,
        /// Duration in milliseconds.
        for_ms: u64,
        /// Names of the instances; all if absent.
        #[serde(default)]
        names: Option<Vec<String>>,
    },
    /// Stops copying.
    Stop {
        /// Generation of this command.
        generation: u64,
        /// Names of the instances; all if absent.
        #[serde(default)]
        names: Option<Vec<String>>,
    },
    /// Requests the status and the results.
    Status {
        /// Names of the instances; all if absent.
        #[serde(default)]
        names: Option<Vec<String>>,
    },
}

/// Shadow traffic whose lease the agent renews. It is not journaled, so it stops when the agent exits.
struct ShadowLease {
    generation: u64,
    ends_at: Instant,
    names: Vec<String>,
    renewed_at: Instant,
}

type ControlResult = Result<ControlAnswer, control::Error>;
type ResolvedShadow = (Op, Vec<String>, Option<(u64, Duration)>);

/// A running instance and its control connection.
struct RunningInstance {
    process: Process,
    requests: mpsc::Sender<ControlRequest>,
    status: Option<Box<Status>>,
    last_contact: Instant,
}

/// Carries out the actions of a [`Fleet`] in the folder of one agent.
pub struct Host {
    folder: PathBuf,
    program: PathBuf,
    journal: Journal,
    fleet: Fleet,
    running: BTreeMap<String, RunningInstance>,
    /// Last list of boxes of each instance.
    box_lists: BTreeMap<String, Value>,
    /// Version of the list that was last passed to the fleet.
    box_list_version: u64,
    shadow_lease: Option<ShadowLease>,
    started: Instant,
    messages: mpsc::UnboundedSender<Message>,
    changed: watch::Sender<u64>,
}

/// Replaces a file atomically; with `sync`, the content is on disk before the file is renamed.
fn replace_file(path: &Path, bytes: &[u8], sync: bool) -> io::Result<()> {
    let new_path = path.with_extension("new");
    fs::write(&new_path, bytes)?;
    if sync {
        fs::File::open(&new_path)?.sync_all()?;
    }
    fs::rename(&new_path, path)
}

impl Host {
    /// Opens the folder and its journal. `changed` is incremented with each change of the observed state.
    ///
    /// # Errors
    /// The folder can't be created, or the journal can't be read or written.
    pub fn open(
        folder: PathBuf,
        program: PathBuf,
        messages: mpsc::UnboundedSender<Message>,
        changed: watch::Sender<u64>,
    ) -> Result<Host, Box<dyn std::error::Error>> {
        fs::create_dir_all(folder.join("instances"))?;
        let (journal, plan) = Journal::open(&folder.join("journal"))?;
        let box_lists = plan.instances.keys().filter_map(|name| {
            let text = fs::read(folder.join("instances").join(name).join("known.json")).ok()?;
            Some((name.clone(), serde_json::from_slice(&text).ok()?))
        });
        let box_lists = box_lists.collect();
        Ok(Host {
            fleet: Fleet::new(plan),
            journal,
            running: BTreeMap::new(),
            box_lists,
            box_list_version: 0,
            shadow_lease: None,
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

    fn instance_dir(&self, name: &str) -> PathBuf {
        self.folder.join("instances").join(name)
    }

    fn config_path(&self, name: &str, generation: u64) -> PathBuf {
        self.instance_dir(name).join(format!("config-{generation}.json"))
    }

    /// Runs until [`Message::Stop`] is received.
    ///
    /// # Errors
    /// The journal can't be written. The agent must then stop; the instances keep running.
    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) -> Result<(), JournalError> {
        for (name, process) in Process::find(&self.folder) {
            self.adopt(name, process)?;
        }
        let box_lists: Vec<Value> = self.box_lists.values().cloned().collect();
        box_lists.iter().for_each(|list| self.update_boxes(list));
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    None | Some(Message::Stop) => return Ok(()),
                    Some(message) => self.handle_message(message)?,
                },
                _ = tick.tick() => {
                    self.reap_exited()?;
                    self.renew_shadow_lease();
                    self.handle_event(Event::Tick)?;
                }
            }
        }
    }

    /// Reports processes that have exited; one system call polls all of them.
    fn reap_exited(&mut self) -> Result<(), JournalError> {
        let exited = Process::exited(self.running.values().map(|r| &r.process));
        let names: Vec<String> = self.running.keys().cloned().collect();
        for (name, _) in names.into_iter().zip(exited).filter(|(_, exited)| *exited) {
            if let Some(mut running) = self.running.remove(&name) {
                let reason = running.process.wait();
                eprintln!("{name}: process {} exited: {reason}", running.process.pid);
                self.handle_event(Event::Exited { name, reason })?;
                self.changed.send_modify(|n| *n += 1);
            }
        }
        Ok(())
    }

    fn handle_message(&mut self, message: Message) -> Result<(), JournalError> {
        let is_current =
            |host: &Host, name: &str, pid: u32| host.running.get(name).is_some_and(|r| r.process.pid == pid);
        match message {
            Message::Contact(name, pid, event) if is_current(self, &name, pid) => {
                self.handle_contact(name, event)?
            }
            Message::Responded(name, pid, response) if is_current(self, &name, pid) => {
                self.handle_event(match response {
                    Some(response) => Event::Responded { name, response },
                    None => Event::ContactLost { name },
                })?
            }
            Message::Contact(..) | Message::Responded(..) | Message::Stop => {}
            Message::Submit { id, base, force, dry_run, command, answer } => {
                let result = self.submit(&id, base, force, dry_run, command)?;
                let _ = answer.send(result);
            }
            Message::Operation(id, answer) => {
                let state = self.fleet.operation_status(&id).map(|s| json!({"id": id, "state": s}));
                let _ = answer.send(state);
            }
            Message::Fleet(answer) => {
                let _ = answer.send(self.describe_fleet());
            }
            Message::Inspect(name, answer) => self.inspect(&name, answer),
            Message::Shadow(command, answer) => self.shadow(command, answer),
        }
        self.changed.send_modify(|n| *n += 1);
        Ok(())
    }

    fn handle_event(&mut self, event: Event) -> Result<(), JournalError> {
        let mut actions = Vec::new();
        self.fleet.handle(self.now(), event, &mut actions);
        self.carry_out(actions)
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<(), JournalError> {
        for action in actions {
            match action {
                Action::WriteJournal(records) => {
                    self.journal.write(&records, self.fleet.plan())?;
                    crash_point();
                    self.changed.send_modify(|n| *n += 1);
                }
                Action::Start { name, generation, incarnation, revision, drained } => {
                    self.start(name, generation, incarnation, revision, drained)?;
                }
                Action::Terminate(name) => self.signal(&name, Signal::TERM),
                Action::Kill(name) => self.signal(&name, Signal::KILL),
                Action::SendRequest { name, request } => self.send_request(name, request),
            }
        }
        Ok(())
    }

    /// Starts an instance, or adopts its process if one is already running.
    fn start(
        &mut self,
        name: String,
        generation: u64,
        incarnation: u64,
        revision: u64,
        drained: bool,
    ) -> Result<(), JournalError> {
        // A previous agent may have started the process and died before it recorded this.
        if let Some((name, process)) = Process::find(&self.folder).into_iter().find(|(n, _)| *n == name) {
            return self.adopt(name, process);
        }
        match self.spawn_process(&name, generation, incarnation, revision, drained) {
            Ok(process) => {
                crash_point();
                eprintln!("{name}: started as process {}, generation {generation}", process.pid);
                self.adopt(name, process)
            }
            Err(e) => {
                eprintln!("{name}: can't be started: {e}");
                self.handle_event(Event::StartFailed { name, reason: format!("can't be started: {e}") })
            }
        }
    }

    fn signal(&self, name: &str, signal: Signal) {
        if let Some(running) = self.running.get(name) {
            eprintln!("{name}: sending {signal:?} to process {}", running.process.pid);
            running.process.signal(signal);
        }
    }

    // ---- instances ----

    /// Writes the files of an instance and starts its process. It starts with its last list of boxes, and the set of
    /// drained boxes is active before it serves.
    fn spawn_process(
        &self,
        name: &str,
        generation: u64,
        incarnation: u64,
        revision: u64,
        drained: bool,
    ) -> io::Result<Process> {
        let dir = self.instance_dir(name);
        fs::create_dir_all(&dir)?;
        let text = fs::read(self.config_path(name, generation))?;
        let mut config: Value = serde_json::from_slice(&text)?;
        (config["name"], config["generation"]) = (json!(name), json!(generation));
        if let Some(list) = self.box_lists.get(name) {
            config["known"] = list.clone();
        }
        replace_file(&dir.join("config.json"), config.to_string().as_bytes(), false)?;
        let state_file = dir.join("state");
        let operator = format!(
            "{}\n[control]\nsocket = {}\nstate_file = {}\n",
            config["operator"].as_str().unwrap_or("version = 1\n"),
            json!(link::socket_path(&dir)),
            json!(state_file)
        );
        replace_file(&dir.join("operator.toml"), operator.as_bytes(), false)?;
        let boxes = self.fleet.plan().drained_boxes.clone();
        // The state file also records why shadow traffic stopped; this belongs to the instance and is kept.
        let previous = fs::read_to_string(&state_file).ok().and_then(|t| State::decode(&t).ok());
        let state = State { revision, boxes, drained, ..previous.unwrap_or_default() };
        replace_file(&state_file, state.encode().as_bytes(), false)?;
        Process::start(&self.program, &self.folder, &dir, name, incarnation)
    }

    /// Takes control of a running process and connects to its control endpoint.
    fn adopt(&mut self, name: String, process: Process) -> Result<(), JournalError> {
        let (pid, incarnation) = (process.pid, process.incarnation);
        if let Some(other) = self.running.get(&name) {
            // Two processes of one instance can't listen on the same address, so the known one is kept.
            eprintln!("{name}: killing process {pid}, as process {} already runs", other.process.pid);
            process.signal(Signal::KILL);
            return Ok(());
        }
        let (requests, request_receiver) = mpsc::channel(64);
        let (messages, instance) = (self.messages.clone(), name.clone());
        let notify = move |event| messages.send(Message::Contact(instance.clone(), pid, event)).is_ok();
        tokio::spawn(link::maintain(link::socket_path(&self.instance_dir(&name)), request_receiver, notify));
        let running = RunningInstance { process, requests, status: None, last_contact: Instant::now() };
        self.running.insert(name.clone(), running);
        self.handle_event(Event::Running { name, pid, incarnation })
    }

    fn handle_contact(&mut self, name: String, event: ContactEvent) -> Result<(), JournalError> {
        match event {
            ContactEvent::Status(status) => {
                let Some(running) = self.running.get_mut(&name) else { return Ok(()) };
                // Another process may listen on the same socket path; its status must not count as this one's.
                if status.pid != running.process.pid {
                    return Ok(());
                }
                let draining = matches!(status.phase, Phase::Draining | Phase::Stopped);
                let report = Report {
                    ready: status.phase == Phase::Ready || (draining && status.list.usable > 0),
                    drained: draining,
                    generation: status.generation,
                    revision: status.revision,
                };
                (running.status, running.last_contact) = (Some(status), Instant::now());
                self.handle_event(Event::Reported { name, report })
            }
            ContactEvent::BoxList(list) => {
                self.update_boxes(&list);
                let path = self.instance_dir(&name).join("known.json");
                if let Err(e) = replace_file(&path, list.to_string().as_bytes(), false) {
                    eprintln!("{name}: can't write {}: {e}", path.display());
                }
                self.box_lists.insert(name, list);
                Ok(())
            }
            ContactEvent::Lost => self.handle_event(Event::ContactLost { name }),
        }
    }

    /// Passes the boxes of a list to the fleet unless a newer list was passed before.
    fn update_boxes(&mut self, list: &Value) {
        let version = list["seq"].as_u64().unwrap_or(0);
        if version < self.box_list_version {
            return;
        }
        self.box_list_version = version;
        let hosts = list["hosts"].as_array().map(Vec::as_slice).unwrap_or_default();
        let parse_box = |h: &Value| {
            let zone = h["site"].as_str().unwrap_or_default().to_owned();
            Some((h["host"].as_str()?.to_owned(), (zone, h["health"] == "up")))
        };
        let boxes = hosts.iter().filter_map(parse_box).collect();
        self.fleet.handle(self.now(), Event::BoxesUpdated(boxes), &mut Vec::new());
    }

    fn send_request(&self, name: String, request: Request) {
        let Some(running) = self.running.get(&name) else { return };
        let (messages, pid) = (self.messages.clone(), running.process.pid);
        let plan = self.fleet.plan();
        let op = match request {
            Request::SetDrained { revision } => {
                Op::SetDrained { revision, boxes: plan.drained_boxes.iter().cloned().collect() }
            }
            Request::Drain => Op::Drain,
            Request::Undrain => Op::Undrain,
            Request::Reconfigure { generation } => match self.read_config(&name, generation) {
                Ok(config) => Op::Reconfigure { generation, config: Box::new(config), dry_run: false },
                Err(reason) => {
                    let _ = messages.send(Message::Responded(name, pid, Some(Response::Rejected(reason))));
                    return;
                }
            },
        };
        let pending = self.send_op(&name, op);
        tokio::spawn(async move {
            let result = match pending {
                Some(pending) => pending.await.ok(),
                None => None,
            };
            let response = result.map(|result| match result {
                Ok(ControlAnswer::Reconfigured(r)) if !r.applied => Response::RestartRequired,
                Ok(_) => Response::Applied,
                Err(e) => Response::Rejected(e.message),
            });
            let _ = messages.send(Message::Responded(name, pid, response));
        });
    }

    /// Reads the stored configuration of a generation and sets the instance's name in it.
    fn read_config(&self, name: &str, generation: u64) -> Result<Value, String> {
        let text = fs::read(self.config_path(name, generation)).map_err(|e| e.to_string())?;
        let mut config = serde_json::from_slice::<Value>(&text).map_err(|e| e.to_string())?;
        config["name"] = json!(name);
        Ok(config)
    }

    // ---- shadow traffic ----

    fn shadow(&mut self, command: ShadowCommand, answer: oneshot::Sender<Result<Value, Rejection>>) {
        let (op, names, started) = match self.resolve_shadow(command) {
            Ok(resolved) => resolved,
            Err(rejection) => return drop(answer.send(Err(rejection))),
        };
        let now = Instant::now();
        if let Some((generation, duration)) = started {
            // Only the last start command is renewed; on other instances the lease expires.
            let names = names.clone();
            self.shadow_lease =
                Some(ShadowLease { generation, ends_at: now + duration, names, renewed_at: now });
        } else if matches!(op, Op::ShadowStop { .. }) {
            self.shadow_lease.iter_mut().for_each(|lease| lease.names.retain(|n| !names.contains(n)));
        }
        let pending: Vec<_> = names.into_iter().map(|name| (self.send_op(&name, op.clone()), name)).collect();
        tokio::spawn(async move {
            let instances = collect_shadow_responses(pending).await;
            let _ = answer.send(Ok(json!({"instances": instances})));
        });
    }

    /// Checks a shadow command. Returns its operation, the selected instances and, for a start, its generation and
    /// duration.
    fn resolve_shadow(&self, command: ShadowCommand) -> Result<ResolvedShadow, Rejection> {
        let selected = |names: Option<Vec<String>>| -> Result<Vec<String>, Rejection> {
            let all = &self.fleet.plan().instances;
            let names = names.unwrap_or_else(|| all.keys().cloned().collect());
            match names.iter().find(|n| !all.contains_key(*n)) {
                Some(unknown) => Err(Rejection::Invalid(format!("there is no instance {unknown:?}"))),
                None => Ok(names),
            }
        };
        match command {
            ShadowCommand::Start { for_ms, .. } if !(1_000..=MAX_SHADOW_DURATION_MS).contains(&for_ms) => {
                let reason = format!("for_ms is {for_ms}; it must be 1000 to {MAX_SHADOW_DURATION_MS}");
                Err(Rejection::Invalid(reason))
            }
            ShadowCommand::Start { generation, for_ms, names } => selected(names).map(|names| {
                let duration = Duration::from_millis(for_ms);
                let op =
                    Op::ShadowStart { generation, lease_ms: SHADOW_LEASE.min(duration).as_millis() as u64 };
                (op, names, Some((generation, duration)))
            }),
            ShadowCommand::Stop { generation, names } => {
                selected(names).map(|names| (Op::ShadowStop { generation }, names, None))
            }
            ShadowCommand::Status { names } => selected(names).map(|names| (Op::ShadowStatus, names, None)),
        }
    }

    /// Sends an operation to a running instance. Returns `None` if it does not run or its queue is full.
    fn send_op(&self, name: &str, op: Op) -> Option<oneshot::Receiver<ControlResult>> {
        let (sender, receiver) = oneshot::channel();
        self.running.get(name)?.requests.try_send((op, sender)).ok().map(|()| receiver)
    }

    /// Renews the lease of shadow traffic until its duration is over.
    fn renew_shadow_lease(&mut self) {
        let now = Instant::now();
        let Some(lease) = &mut self.shadow_lease else { return };
        let left = lease.ends_at.saturating_duration_since(now);
        if left < Duration::from_secs(1) || lease.names.is_empty() {
            self.shadow_lease = None;
            return;
        }
        if now.duration_since(lease.renewed_at) < SHADOW_RENEWAL_INTERVAL {
            return;
        }
        lease.renewed_at = now;
        let (generation, lease_ms) = (lease.generation, SHADOW_LEASE.min(left).as_millis() as u64);
        let names = lease.names.clone();
        // An instance that stopped copying by itself rejects the renewal and reports the reason in its status.
        names.iter().for_each(|name| drop(self.send_op(name, Op::ShadowStart { generation, lease_ms })));
    }

    // ---- commands ----

    fn submit(
        &mut self,
        id: &str,
        base: u64,
        force: bool,
        dry_run: bool,
        command: FleetCommand,
    ) -> Result<Result<Value, Rejection>, JournalError> {
        if id.is_empty() || id.len() > MAX_OPERATION_ID_BYTES {
            return Ok(Err(Rejection::Invalid(format!("id must have 1 to {MAX_OPERATION_ID_BYTES} bytes"))));
        }
        let (command, changes) = match command {
            FleetCommand::Plain(Command::Apply { .. }) => {
                return Ok(Err(Rejection::Invalid("apply requires the config of each instance".into())))
            }
            FleetCommand::Plain(command) => (command, Vec::new()),
            FleetCommand::Apply(file) => match self.assign_generations(*file, dry_run) {
                Ok(assigned) => assigned,
                Err(rejection) => return Ok(Err(rejection)),
            },
        };
        if dry_run {
            let validated = self.fleet.validate(&command, force);
            return Ok(
                validated.map(|()| json!({"generation": self.fleet.plan().generation, "changes": changes}))
            );
        }
        let mut actions = Vec::new();
        let result = self.fleet.submit(self.now(), id, base, force, command, &mut actions);
        self.carry_out(actions)?;
        Ok(result.map(|generation| json!({"id": id, "generation": generation, "changes": changes})))
    }

    /// Assigns generations to the configurations of a fleet file: an unchanged one keeps its generation, a new one is
    /// written under the next generation. Also returns a list of the changes for operators.
    fn assign_generations(
        &self,
        file: FleetFile,
        dry_run: bool,
    ) -> Result<(Command, Vec<String>), Rejection> {
        let plan = self.fleet.plan();
        let mut changes = Vec::new();
        let mut instances = BTreeMap::new();
        for (name, instance) in file.instances {
            let invalid = |reason: String| Rejection::Invalid(format!("{name}: {reason}"));
            if !is_valid_name(&name) {
                return Err(invalid("is no name: 1 to 64 of a-z A-Z 0-9 - _ ., not first .".into()));
            }
            let length = link::socket_path(&self.instance_dir(&name)).as_os_str().len();
            if length > MAX_SOCKET_PATH_BYTES {
                return Err(invalid(format!(
                    "its control socket path has {length} bytes; at most {MAX_SOCKET_PATH_BYTES} are allowed"
                )));
            }
            if !instance.config.is_object() {
                return Err(invalid("its config is not a JSON object".into()));
            }
            let mut config = instance.config;
            // These fields are set by the agent.
            if let Some(fields) = config.as_object_mut() {
                fields.remove("generation");
                fields.insert("name".into(), json!(name));
            }
            let current = plan.instances.get(&name);
            let if_same = |generation: u64| {
                let old = fs::read(self.config_path(&name, generation)).ok()?;
                (serde_json::from_slice::<Value>(&old).ok()? == config).then_some(generation)
            };
            let last = (1..).take_while(|g| self.config_path(&name, *g).exists()).last().unwrap_or(0);
            let generation = match current.and_then(|i| if_same(i.generation)).or_else(|| if_same(last)) {
                Some(generation) => generation,
                None => {
                    if !dry_run {
                        let written = fs::create_dir_all(self.instance_dir(&name)).and_then(|()| {
                            replace_file(
                                &self.config_path(&name, last + 1),
                                config.to_string().as_bytes(),
                                true,
                            )
                        });
                        written.map_err(|e| invalid(format!("its config can't be written: {e}")))?;
                    }
                    last + 1
                }
            };
            match current {
                None => changes.push(format!("+ {name}: new in {}", instance.zone)),
                Some(i) if i.generation != generation => {
                    changes.push(format!("~ {name}: configuration {} -> {generation}", i.generation));
                }
                Some(_) => {}
            }
            instances.insert(name, DesiredInstance { zone: instance.zone, generation });
        }
        let removed = plan.instances.keys().filter(|n| !instances.contains_key(*n));
        changes.extend(removed.map(|n| format!("- {n}: ends")));
        if plan.policy != file.policy {
            changes.push("~ policy".into());
        }
        Ok((Command::Apply { instances, policy: file.policy }, changes))
    }

    // ---- state for the API ----

    fn describe_fleet(&self) -> Value {
        let plan = self.fleet.plan();
        let instances: BTreeMap<&String, Value> =
            plan.instances.keys().map(|name| (name, self.describe_instance(name))).collect();
        let rollout = plan.rollout.as_ref().map(|r| {
            json!({"id": r.id, "state": r.state, "summary": r.summary(), "open": r.state.is_active(),
                "done": r.done.len(), "all": r.targets.len(), "current": r.current, "failed": r.failed})
        });
        json!({"generation": plan.generation, "revision": plan.revision, "drained_boxes": plan.drained_boxes,
            "policy": plan.policy, "rollout": rollout, "instances": instances})
    }

    fn describe_instance(&self, name: &str) -> Value {
        let Some(intent) = self.fleet.plan().instances.get(name) else { return Value::Null };
        let observed = self.fleet.observed(name);
        let running = self.running.get(name);
        let status = running.and_then(|r| r.status.as_ref());
        let connected = observed.is_some_and(|s| s.connected);
        let state = match (running, status, connected) {
            (None, ..) if !intent.running => "down",
            (None, ..) if observed.is_some_and(|s| s.consecutive_crashes > 0) => "backing-off",
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
            "heard_ms": running.map(|r| r.last_contact.elapsed().as_millis() as u64),
            "crashes": observed.map_or(0, |s| s.consecutive_crashes),
            "trouble": observed.and_then(|s| s.last_error.clone()),
        })
    }

    fn inspect(&self, name: &str, answer: oneshot::Sender<Option<Value>>) {
        let mut description = self.describe_instance(name);
        if description.is_null() {
            let _ = answer.send(None);
            return;
        }
        description["status"] = json!(self.running.get(name).and_then(|r| r.status.as_ref()));
        let Some(running) = self.running.get(name) else {
            let _ = answer.send(Some(description));
            return;
        };
        let requests = running.requests.clone();
        tokio::spawn(async move {
            let (mut boxes, mut after) = (Vec::new(), String::new());
            // If the instance does not respond, its description has no boxes.
            loop {
                let (sender, receiver) = oneshot::channel();
                let request = (Op::Boxes { after: after.clone(), limit: None }, sender);
                if requests.try_send(request).is_err() {
                    break;
                }
                let Ok(Ok(Ok(ControlAnswer::Boxes(Page { boxes: page, more })))) =
                    tokio::time::timeout(RESPONSE_TIMEOUT, receiver).await
                else {
                    break;
                };
                after = page.last().map(|b| b.name.clone()).unwrap_or_default();
                boxes.extend(page);
                if !more {
                    description["boxes"] = json!(boxes);
                    break;
                }
            }
            let _ = answer.send(Some(description));
        });
    }
}

/// Waits for the responses of the instances and returns them by the names of the instances.
async fn collect_shadow_responses(
    pending: Vec<(Option<oneshot::Receiver<ControlResult>>, String)>,
) -> serde_json::Map<String, Value> {
    let mut responses = serde_json::Map::new();
    for (response, name) in pending {
        let unreachable = || json!({"error": {"code": "away", "message": "the instance does not respond"}});
        let value = match response {
            None => unreachable(),
            Some(response) => match tokio::time::timeout(RESPONSE_TIMEOUT, response).await {
                Ok(Ok(Ok(answer))) => json!({"ok": answer}),
                Ok(Ok(Err(e))) => json!({"error": e}),
                Ok(Err(_)) | Err(_) => unreachable(),
            },
        };
        responses.insert(name, value);
    }
    responses
}

/// Kills the agent with SIGKILL after the number of calls given in `TRESTLE_AGENT_DIES`, for tests of crash recovery.
fn crash_point() {
    use std::sync::atomic::{AtomicI64, Ordering};
    use std::sync::OnceLock;
    static CALLS_LEFT: OnceLock<AtomicI64> = OnceLock::new();
    let left = CALLS_LEFT.get_or_init(|| {
        let limit = std::env::var("TRESTLE_AGENT_DIES").ok().and_then(|n| n.parse().ok());
        AtomicI64::new(limit.unwrap_or(i64::MAX))
    });
    if left.fetch_sub(1, Ordering::Relaxed) == 0 {
        let _ = rustix::process::kill_process(rustix::process::getpid(), Signal::KILL);
        std::thread::sleep(Duration::from_secs(10));
    }
}
