//! Runs balancer instances for the simulator over standard input and output. Instances share no state.

use calicosaddle::api::{Action, Event, ListKind, Nanos, ServerEntry, ServerId};
use calicosaddle::Balancer;
use freshness::Subscription;
use rustc_hash::FxHashMap;
use std::io::{self, BufRead, Write};
use wire::Message;

/// Number of list buffers of the protocol.
const LIST_BUFFERS: usize = 16;

/// One simulated proxy.
struct Instance {
    balancer: Balancer,
    subscription: Subscription,
}

/// A list buffer whose entries are still arriving.
struct IncompleteList {
    buffer: usize,
    missing_entries: usize,
}

/// State of the protocol. Server names are only translated; no decision depends on them.
#[derive(Default)]
struct Adapter {
    now: Nanos,
    instances: FxHashMap<String, Instance>,
    server_names: FxHashMap<ServerId, String>,
    list_buffers: Vec<Vec<ServerEntry>>,
    incomplete_list: Option<IncompleteList>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Handles one input line; returns true when the reply is due.
    fn handle_line(&mut self, line: &str) -> Result<bool, String> {
        let message = wire::parse_message(line)?;
        if let Some(list) = self.incomplete_list.take() {
            self.add_entry(list, message)?;
            return Ok(false);
        }
        match message {
            Message::BatchStart(now) => self.now = now,
            Message::BatchEnd => {
                self.reply.push_str("end\n");
                return Ok(true);
            }
            Message::ListBuffer { index, entry_count } => self.start_list(index, entry_count)?,
            Message::Entry(..) => return Err("entry received outside a list".into()),
            Message::InstanceStart { instance, seed, settings } => {
                let subscription = Subscription::new(&settings, seed);
                let balancer = Balancer::new(*settings, seed);
                self.instances.insert(instance, Instance { balancer, subscription });
            }
            Message::ListUpdate { instance, kind, buffer } => {
                let entries = match kind {
                    ListKind::Failed => Vec::new(),
                    _ => self
                        .list_buffers
                        .get(buffer)
                        .cloned()
                        .ok_or(format!("list buffer {buffer} was never filled"))?,
                };
                self.handle_event(&instance, Event::ServerList { kind, entries });
            }
            Message::InstanceStop(instance) => {
                self.instances.remove(&instance);
            }
            Message::Event(instance, event) => self.handle_event(&instance, event),
            Message::Ignored => {}
        }
        Ok(false)
    }

    fn start_list(&mut self, buffer: usize, entry_count: usize) -> Result<(), String> {
        if buffer >= LIST_BUFFERS {
            return Err(format!("buffer: expected 0 to {}, got {buffer}", LIST_BUFFERS - 1));
        }
        self.list_buffers.resize_with(LIST_BUFFERS, Vec::new);
        self.list_buffers[buffer].clear();
        self.incomplete_list =
            (entry_count > 0).then_some(IncompleteList { buffer, missing_entries: entry_count });
        Ok(())
    }

    fn add_entry(&mut self, list: IncompleteList, message: Message) -> Result<(), String> {
        let IncompleteList { buffer, missing_entries } = list;
        let Message::Entry(name, entry) = message else {
            return Err(format!(
                "list buffer {buffer}: expected {missing_entries} more entries, got another message"
            ));
        };
        self.server_names.entry(entry.server).or_insert(name);
        self.list_buffers[buffer].push(entry);
        let missing_entries = missing_entries - 1;
        self.incomplete_list = (missing_entries > 0).then_some(IncompleteList { buffer, missing_entries });
        Ok(())
    }

    /// Passes an event to an instance and adds the resulting actions to the reply. An event of an unknown or stopped
    /// instance is ignored.
    fn handle_event(&mut self, instance_name: &str, event: Event) {
        let Some(instance) = self.instances.get_mut(instance_name) else {
            return;
        };
        instance.subscription.handle(self.now, &event, &mut self.actions);
        instance.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            wire::write_action(&mut self.reply, instance_name, &action, |server| {
                self.server_names.get(&server).cloned()
            });
        }
    }
}

/// Handles input lines until the end of the input or the first error.
fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    for line_number in 1u64.. {
        bytes.clear();
        let read = input.read_until(b'\n', &mut bytes);
        if read.map_err(|e| format!("line {line_number}: reading standard input failed: {e}"))? == 0 {
            break;
        }
        while bytes.last().is_some_and(|b| matches!(b, b'\n' | b'\r')) {
            bytes.pop();
        }
        let line =
            std::str::from_utf8(&bytes).map_err(|e| format!("line {line_number}: expected UTF-8: {e}"))?;
        if adapter.handle_line(line).map_err(|e| format!("line {line_number}: {e}"))? {
            let written = output.write_all(adapter.reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(|e| format!("writing the reply to standard output failed: {e}"))?;
            adapter.reply.clear();
        }
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("calicosaddle-adapter: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
