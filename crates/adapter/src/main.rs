//! Plays the bench's wire on standard input and output: one decision module for each instance, nothing shared.

use calicosaddle::api::{Action, Entry, Event, ListKind, Nanos, ServerId};
use calicosaddle::Brain;
use freshness::Subscription;
use rustc_hash::FxHashMap;
use std::io::{self, BufRead, Write};
use wire::Message;

/// The loop's state. The names of servers serve translation alone; no decision reads them.
#[derive(Default)]
struct Adapter {
    now: Nanos,
    instances: FxHashMap<String, (Brain, Subscription)>,
    names: FxHashMap<ServerId, String>,
    pages: Vec<Vec<Entry>>,
    filling: Option<(usize, usize)>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Takes one line; true when a reply is due.
    fn line(&mut self, line: &str) -> Result<bool, String> {
        let parsed = wire::parse_message(line)?;
        if let Some((number, left)) = self.filling {
            let Message::Entry(name, entry) = parsed else {
                return Err(format!("list {number} lacks {left} entries"));
            };
            self.names.entry(entry.server).or_insert(name);
            self.pages[number].push(entry);
            self.filling = (left > 1).then_some((number, left - 1));
            return Ok(false);
        }
        match parsed {
            Message::BatchStart(now) => self.now = now,
            Message::BatchEnd => {
                self.reply.push_str("end\n");
                return Ok(true);
            }
            Message::ListBuffer { index: number, entry_count: count } => {
                if number > 15 {
                    return Err(format!("list number is over 15: {number}"));
                }
                self.pages.resize_with(16.max(self.pages.len()), Vec::new);
                self.pages[number].clear();
                self.filling = (count > 0).then_some((number, count));
            }
            Message::Entry(..) => return Err("entry without a list".into()),
            Message::InstanceStart { instance, seed, settings } => {
                let stream = Subscription::new(&settings, seed);
                self.instances.insert(instance, (Brain::new(*settings, seed), stream));
            }
            Message::ListUpdate { instance, kind, buffer: page } => {
                let entries = match kind {
                    ListKind::Failed => Vec::new(),
                    _ => self.pages.get(page).cloned().ok_or(format!("list {page} was never sent"))?,
                };
                self.event(instance, Event::List { kind, entries });
            }
            Message::InstanceStop(instance) => {
                self.instances.remove(&instance);
            }
            Message::Event(instance, event) => self.event(instance, event),
            Message::Ignored => {}
        }
        Ok(false)
    }

    fn event(&mut self, instance: String, event: Event) {
        let Some((brain, stream)) = self.instances.get_mut(&instance) else {
            return;
        };
        stream.handle(self.now, &event, &mut self.actions);
        brain.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            wire::write_action(&mut self.reply, &instance, &action, |s| self.names.get(&s).cloned());
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    for number in 1u64.. {
        bytes.clear();
        let read = input.read_until(b'\n', &mut bytes);
        if read.map_err(|e| format!("line {number}: cannot be read: {e}"))? == 0 {
            break;
        }
        while bytes.last().is_some_and(|b| matches!(b, b'\n' | b'\r')) {
            bytes.pop();
        }
        let line = std::str::from_utf8(&bytes).map_err(|_| format!("line {number}: not UTF-8"))?;
        if adapter.line(line).map_err(|e| format!("line {number}: {e}"))? {
            let sent = output.write_all(adapter.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|e| format!("the reply cannot be written: {e}"))?;
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
