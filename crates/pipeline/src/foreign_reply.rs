//! Recognises replies that were not made for the command that they seem to answer.
//!
//! RESP replies carry no ids. A second copy of a reply that arrives once the next command is written passes for the reply
//! to that command, and so do all replies behind it on the connection for the commands behind theirs. Two things tell a
//! foreign reply: it may come sooner than the box can answer, and a copy is equal to the reply before it. Where equal
//! replies are usual, as receipts and refusals are, they prove nothing. There, and while too little is known of a box, the
//! next command is not written before a copy must have arrived.

use crate::{BoxLatencies, LatencyContext, Nanos, SettleDelay};

/// A reply that comes sooner than this part of the fastest exchange with its box is foreign: it would have taken less
/// than a round trip.
const ROUND_TRIP_DIVISOR: Nanos = 4;
/// The fewest responses of a box from which a round trip to it is estimated.
const MIN_RESPONSES: u32 = 8;
/// Exchanges that are faster than this tell nothing: the delays of the machine's scheduler are as long.
const MIN_EXCHANGE: Nanos = 5_000_000;
/// A reply that is equal to the one before it and comes sooner than this part of the fastest response is a second copy.
const COPY_DIVISOR: Nanos = 2;
/// The jitter of a link draws a reply and its copy apart by up to this part of the fastest response: a third of a round trip
/// that itself may have been measured a third too short.
const JITTER_DIVISOR: Nanos = 2;
/// The part of that which the settle delay covers by itself.
const JITTER_IN_SETTLE_DELAY: Nanos = 1_000_000;
/// The fewest replies from which it is known whether values differ.
const MIN_COMPARED: u64 = 16;
/// Values differ if at most one in so many replies is equal to the one before it.
const REPLIES_PER_EQUAL_ONE: u64 = 1_000;

/// The fastest exchanges with a box.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FastestExchange {
    connect: Option<Nanos>,
    response: Option<Nanos>,
    response_count: u32,
}

impl FastestExchange {
    /// No exchange yet.
    pub(crate) const NONE: FastestExchange =
        FastestExchange { connect: None, response: None, response_count: 0 };

    /// Records how long a connection took to be established.
    pub(crate) fn record_connect(&mut self, connect_time: Nanos) {
        self.connect = Some(self.connect.map_or(connect_time, |fastest| fastest.min(connect_time)));
    }

    /// Records the time from a command to its reply, where no copy of an earlier reply can have been taken for it.
    pub(crate) fn record_response(&mut self, latency: Nanos) {
        self.response = Some(self.response.map_or(latency, |fastest| fastest.min(latency)));
        self.response_count = self.response_count.saturating_add(1);
    }

    /// The fastest exchange, if enough is known to tell anything by it.
    fn known_exchange(&self) -> Option<Nanos> {
        let fastest = self.connect?.min(self.response?);
        (self.response_count >= MIN_RESPONSES && fastest >= MIN_EXCHANGE).then_some(fastest)
    }

    /// How far jitter may draw a reply and its copy apart, beyond what the settle delay covers.
    fn jitter(&self) -> Option<Nanos> {
        let jitter = self.response? / JITTER_DIVISOR;
        Some(jitter.saturating_sub(JITTER_IN_SETTLE_DELAY))
    }

    /// Whether a second copy is the likelier explanation for a reply after this time that is equal to the one before.
    fn is_early_for_copy(&self, latency: Nanos) -> bool {
        self.response.is_some_and(|fastest| latency < fastest / COPY_DIVISOR)
    }
}

/// How many values were compared with the one before them on their connection, and how many of these were equal.
#[derive(Clone, Copy, Debug, Default)]
struct Comparisons {
    compared: u64,
    equal: u64,
}

impl Comparisons {
    fn record(&mut self, is_equal: bool) {
        self.compared += 1;
        self.equal += u64::from(is_equal);
    }

    fn values_differ(&self) -> bool {
        self.compared >= MIN_COMPARED && self.equal * REPLIES_PER_EQUAL_ONE <= self.compared
    }
}

/// Whether consecutive values on a connection usually differ, apart for each sequence of reads and writes. Receipts may all
/// be equal where values are not. Where values differ, a second copy is recognised by its content.
#[derive(Clone, Copy, Debug, Default)]
pub struct ValueVariety([[Comparisons; 2]; 2]);

impl ValueVariety {
    /// The comparisons of replies to writes or reads with replies to writes or reads before them.
    fn behind(&self, previous_write: bool, write: bool) -> &Comparisons {
        &self.0[usize::from(previous_write)][usize::from(write)]
    }

    fn record(&mut self, previous: &ReplyArrival, arrival: &ReplyArrival) {
        let is_equal = previous.fingerprint == arrival.fingerprint;
        self.0[usize::from(previous.write)][usize::from(arrival.write)].record(is_equal);
    }
}

/// A reply that arrived on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReplyArrival {
    /// The time from the last byte of its command to its first byte; `None` if the command was written behind others.
    pub latency: Option<Nanos>,
    /// A hash of its content.
    pub fingerprint: u64,
    /// It has a value or a receipt.
    pub served: bool,
    /// Its command is a write.
    pub write: bool,
}

/// Compares the replies on a connection with those before them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForeignReplyDetector {
    previous: Option<ReplyArrival>,
}

impl ForeignReplyDetector {
    /// Whether a reply is foreign. The first one on a connection never is. For the round trip to a box that is little
    /// known, the fastest of all boxes stands.
    pub fn is_foreign(
        &self,
        arrival: &ReplyArrival,
        variety: &ValueVariety,
        latencies: LatencyContext<'_>,
    ) -> bool {
        let (Some(previous), Some(latency)) = (&self.previous, arrival.latency) else { return false };
        let known = [latencies.this_box, latencies.all_boxes].map(BoxLatencies::fastest);
        let is_equal = arrival.served && arrival.fingerprint == previous.fingerprint;
        let is_copy = is_equal
            && variety.behind(previous.write, arrival.write).values_differ()
            && known[0].is_early_for_copy(latency);
        let exchange = known.into_iter().find_map(FastestExchange::known_exchange);
        is_copy || exchange.is_some_and(|fastest| latency < fastest / ROUND_TRIP_DIVISOR)
    }

    /// Whether a copy of the last reply would be recognised by its content if it came as the reply to the next command.
    fn recognises_copy(&self, write: bool, variety: &ValueVariety, this_box: &BoxLatencies) -> bool {
        let Some(previous) = &self.previous else { return true };
        previous.served
            && variety.behind(previous.write, write).values_differ()
            && this_box.fastest().response.is_some()
    }

    /// How long the connection waits after the last reply before it carries a write or a read. Where a copy of that reply
    /// would not be recognised by its content, it waits for the time by which jitter may delay the copy, too.
    pub fn settle_delay(
        &self,
        write: bool,
        variety: &ValueVariety,
        latencies: LatencyContext<'_>,
        settle_delay: SettleDelay,
    ) -> Nanos {
        let delay = settle_delay.duration();
        if settle_delay == SettleDelay::NONE || self.recognises_copy(write, variety, latencies.this_box) {
            return delay;
        }
        let known = [latencies.this_box, latencies.all_boxes].map(BoxLatencies::fastest);
        let jitter = known.into_iter().find_map(FastestExchange::jitter).unwrap_or(SettleDelay::MAX);
        (delay + jitter).min(SettleDelay::MAX.max(delay))
    }

    /// Records a reply that was accepted.
    pub fn record(&mut self, arrival: &ReplyArrival, variety: &mut ValueVariety) {
        let compared = self.previous.filter(|previous| previous.served && arrival.served);
        if let Some(previous) = compared {
            variety.record(&previous, arrival);
        }
        self.previous = Some(*arrival);
    }
}
