//! A cache node as this proxy knows it.

use super::connection::Connection;
use addresses::{AddressId, AddressTable};
use calicosaddle::api::{Nanos, ServerEntry, ServerState};
use control::message::Pipelines;
use pipeline::{BoxLatencies, ConnectionLimit};
use resp::Protocol;

/// Greetings that may be left unanswered in a row before a node is taken for one that can't read them.
const UNHEARD: u8 = 3;

/// A cache node.
#[derive(Debug)]
pub struct Node {
    /// As discovery calls it.
    pub name: Box<str>,
    /// As the list has it.
    pub entry: ServerEntry,
    /// An operator drained it.
    pub withdrawn: bool,
    /// Since when it is known here that it is to get nothing new.
    pub leaving: Option<Nanos>,
    /// Attempts begun.
    pub sent: u64,
    /// Those of them begun since it is leaving.
    pub sent_leaving: u64,
    /// Its process that started then speaks RESP2 alone.
    pub two: Option<Nanos>,
    /// Greetings in a row that it said nothing to.
    pub unheard: u8,
    /// Where it is.
    pub book: AddressTable,
    /// The connections to it.
    pub connections: Vec<usize>,
    /// What it was measured to take, once there was anything to measure.
    measured: Option<Box<BoxLatencies>>,
    /// How many connections it takes from here.
    pub room: ConnectionLimit,
    /// What its connections came to; how deep they are is looked up when it is asked for.
    pub counts: Pipelines,
}

impl Node {
    /// A node that was just told of.
    pub fn new(name: Box<str>, entry: ServerEntry, withdrawn: bool) -> Self {
        let book = AddressTable::new(entry.server);
        Node {
            name,
            entry,
            withdrawn,
            leaving: None,
            sent: 0,
            sent_leaving: 0,
            two: None,
            unheard: 0,
            book,
            connections: Vec::new(),
            measured: None,
            room: ConnectionLimit::default(),
            counts: Pipelines::default(),
        }
    }

    /// What it was measured to take.
    pub fn times(&self) -> &BoxLatencies {
        self.measured.as_deref().unwrap_or(&BoxLatencies::NONE)
    }

    /// The same, to add to.
    pub fn measured(&mut self) -> &mut BoxLatencies {
        self.measured.get_or_insert_default()
    }

    /// Takes work: discovery and the operators both say so.
    pub fn takes(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.withdrawn
    }

    /// May a connection that is up carry something new: over its address, and over this one if only that will do?
    pub fn fits(&self, c: &Connection, only: Option<AddressId>) -> bool {
        match only {
            Some(id) => id == c.link.over && self.book.address(id).is_some(),
            None => self.book.usable(c.link.over),
        }
    }

    /// Greet it in RESP3? One that refused is asked again once it has started anew.
    pub fn greets(&self) -> bool {
        self.two != Some(self.entry.started_at)
    }

    /// It answered a greeting, with the protocol that it speaks from then on; false if that was known.
    pub fn greeted(&mut self, protocol: Protocol) -> bool {
        let two = (protocol == Protocol::Two).then_some(self.entry.started_at);
        self.unheard = 0;
        std::mem::replace(&mut self.two, two) != two
    }

    /// It left a greeting unanswered for so long that a request's time was up. A silent node says nothing to a
    /// greeting either, so one such is no sign.
    pub fn left_unheard(&mut self) {
        self.unheard += 1;
        if self.unheard >= UNHEARD {
            self.greeted(Protocol::Two);
        }
    }

    /// Notes whether it takes work from now on.
    pub fn mark(&mut self, now: Nanos) {
        if self.takes() {
            (self.leaving, self.sent_leaving) = (None, 0);
        } else {
            self.leaving.get_or_insert(now);
        }
    }
}

/// A state as discovery names it.
pub fn word(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "up",
        ServerState::Draining => "draining",
        ServerState::Removed => "removed",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_node_is_greeted_until_it_refuses_or_is_silent_too_often_and_again_once_it_starts_anew() {
        let mut node = Node::new("s-7".into(), ServerEntry::default(), false);
        (1..UNHEARD).for_each(|_| node.left_unheard());
        assert!(node.greets());
        // An answer in between shows that it reads greetings.
        assert!(!node.greeted(Protocol::Three));
        (1..UNHEARD).for_each(|_| node.left_unheard());
        assert!(node.greets());
        node.left_unheard();
        assert!(!node.greets());
        node.entry.started_at = 5;
        assert!(node.greets() && node.greeted(Protocol::Two) && !node.greets());
        assert!(!node.greeted(Protocol::Two));
    }
}
