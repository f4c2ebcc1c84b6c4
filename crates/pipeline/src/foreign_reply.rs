//! Recognises replies that were not made for the command that they seem to answer.
//!
//! RESP replies carry no ids. A second copy of a reply that arrives once the next command is written passes for the reply
//! to that command, and so do all replies behind it on the connection for the commands behind theirs. Two things tell a
//! foreign reply: it may come sooner than the box can answer, and a copy is equal to the reply before it. Neither is used
//! before the box has shown how soon it answers.

use crate::Nanos;

/// A reply that comes sooner than this part of the fastest exchange with its box is foreign: it would have taken less
/// than a round trip.
const ROUND_TRIP_DIVISOR: Nanos = 4;
/// A reply that is equal to the one before it and comes sooner than this part of the fastest response is a second copy.
const COPY_DIVISOR: Nanos = 2;
/// The fewest responses from which a round trip is estimated.
const MIN_RESPONSES: u32 = 4;

/// The fastest exchanges with a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FastestExchange {
    connect: Option<Nanos>,
    response: Option<Nanos>,
    response_count: u32,
}

impl FastestExchange {
    /// No exchange yet.
    pub const NONE: FastestExchange = FastestExchange { connect: None, response: None, response_count: 0 };

    /// Records how long a connection took to be established.
    pub fn record_connect(&mut self, connect_time: Nanos) {
        self.connect = Some(self.connect.map_or(connect_time, |fastest| fastest.min(connect_time)));
    }

    /// Records the time from a command to its reply, where no copy of an earlier reply can have been taken for it.
    pub fn record_response(&mut self, latency: Nanos) {
        self.response = Some(self.response.map_or(latency, |fastest| fastest.min(latency)));
        self.response_count = self.response_count.saturating_add(1);
    }

    /// Whether a reply after this time took less than a round trip.
    fn is_within_round_trip(&self, latency: Nanos) -> bool {
        let exchange = self.connect.zip(self.response).map(|(connect, response)| connect.min(response));
        self.response_count >= MIN_RESPONSES
            && exchange.is_some_and(|fastest| latency < fastest / ROUND_TRIP_DIVISOR)
    }

    /// Whether a second copy is the likelier explanation for a reply after this time that is equal to the one before.
    fn is_early_for_copy(&self, latency: Nanos) -> bool {
        self.response.is_some_and(|fastest| latency < fastest / COPY_DIVISOR)
    }
}

/// A reply that arrived on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReplyArrival {
    /// The time from the last byte of its command to its first byte; `None` if the command was written behind others.
    pub latency: Option<Nanos>,
    /// A hash of its content.
    pub fingerprint: u64,
}

/// Compares the replies on a connection with those before them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForeignReplyDetector {
    /// The fingerprint of the last reply.
    previous: Option<u64>,
}

impl ForeignReplyDetector {
    /// Whether a reply is foreign. The first one on a connection never is.
    pub fn is_foreign(&self, arrival: &ReplyArrival, fastest: &FastestExchange) -> bool {
        let (Some(previous), Some(latency)) = (self.previous, arrival.latency) else { return false };
        let is_copy = previous == arrival.fingerprint && fastest.is_early_for_copy(latency);
        is_copy || fastest.is_within_round_trip(latency)
    }

    /// Records the last reply.
    pub fn record(&mut self, fingerprint: u64) {
        self.previous = Some(fingerprint);
    }
}
