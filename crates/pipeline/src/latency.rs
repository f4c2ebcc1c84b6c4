//! Measured latencies of boxes.

use crate::foreign_reply::FastestExchange;
use crate::{CommandKind, Nanos};

/// The upper end of the first bucket. Shorter latencies are all counted in it.
const MIN_RESOLVED: Nanos = 64_000;
/// The number of buckets: two per octave, from 64 us to 4 s.
const BUCKETS: usize = 33;
/// Beyond this many samples, all counts are halved.
const MAX_SAMPLES: u16 = 512;
/// The fewest samples from which a latency is estimated.
const MIN_SAMPLES: u16 = 8;

/// A histogram of latencies whose buckets grow by the square root of two. Old samples fade as new ones are recorded.
/// It takes 68 bytes.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: [u16; BUCKETS],
    total: u16,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram::NONE
    }
}

/// The upper ends of the buckets.
const UPPER_ENDS: [Nanos; BUCKETS] = {
    let mut ends = [0; BUCKETS];
    let mut bucket = 0;
    while bucket < BUCKETS {
        let octave = MIN_RESOLVED << (bucket / 2);
        // 1 + 53/128 approximates the square root of two.
        ends[bucket] = if bucket % 2 == 0 { octave } else { octave + octave * 53 / 128 };
        bucket += 1;
    }
    ends
};

/// The latency that represents a bucket: about the middle between its ends, which are a factor of the square root of
/// two apart.
fn midpoint(bucket: usize) -> Nanos {
    UPPER_ENDS[bucket] - UPPER_ENDS[bucket] / 7
}

impl LatencyHistogram {
    /// An empty histogram.
    pub const NONE: LatencyHistogram = LatencyHistogram { counts: [0; BUCKETS], total: 0 };

    /// Records a sample.
    pub fn record(&mut self, latency: Nanos) {
        let bucket = UPPER_ENDS.partition_point(|end| *end < latency).min(BUCKETS - 1);
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total > MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The number of samples, faded ones counted in part.
    pub fn sample_count(&self) -> u16 {
        self.total
    }

    /// The latency that this part of the samples does not exceed; `None` if there are too few of them.
    pub fn quantile(&self, part: f64) -> Option<Nanos> {
        // A high quantile needs samples above it: ten of them do not determine the 99th percentile.
        if self.total < MIN_SAMPLES || f64::from(self.total) * (1.0 - part) < 0.5 {
            return None;
        }
        let wanted = f64::from(self.total) * part;
        let mut sum = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            sum += f64::from(*count);
            if sum >= wanted {
                return Some(UPPER_ENDS[bucket]);
            }
        }
        Some(UPPER_ENDS[BUCKETS - 1])
    }

    /// The upper end of the bucket of the largest sample, if there is any.
    pub fn max(&self) -> Option<Nanos> {
        self.counts.iter().rposition(|count| *count > 0).map(|bucket| UPPER_ENDS[bucket])
    }

    /// The expected remaining time of something that has taken `age` so far: the mean excess of the longer samples. What
    /// is older than all samples is expected to take its age again. `None` if there are too few samples.
    pub fn expected_remaining(&self, age: Nanos) -> Option<Nanos> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let (mut samples, mut excess) = (0.0, 0.0);
        for (bucket, count) in self.counts.iter().enumerate().filter(|(bucket, _)| midpoint(*bucket) > age) {
            samples += f64::from(*count);
            excess += f64::from(*count) * (midpoint(bucket) - age) as f64;
        }
        Some(if samples < 0.5 { age } else { (excess / samples) as Nanos })
    }
}

/// The measured latencies of one box, over all connections to it.
#[derive(Clone, Debug, Default)]
pub struct BoxLatencies {
    /// From the last byte of a command to its answer, for commands written behind no other: reads, then writes.
    head: [LatencyHistogram; 2],
    /// From one answer to the next, for commands written behind others: almost zero at a box that processes the commands
    /// of a connection concurrently, a full service time at one that processes them one by one.
    answer_gap: LatencyHistogram,
    /// From the first packet of a connection until it is established.
    connect_time: LatencyHistogram,
    fastest: FastestExchange,
}

impl BoxLatencies {
    /// No samples.
    pub const NONE: BoxLatencies = BoxLatencies {
        head: [LatencyHistogram::NONE; 2],
        answer_gap: LatencyHistogram::NONE,
        connect_time: LatencyHistogram::NONE,
        fastest: FastestExchange::NONE,
    };

    /// Records an answer: for a pipelined command the time that it was the head of its connection, otherwise its latency.
    pub fn record_answer(&mut self, kind: CommandKind, pipelined: bool, latency: Nanos, head_time: Nanos) {
        if pipelined {
            self.answer_gap.record(head_time);
        } else {
            self.head[usize::from(kind.write)].record(latency);
        }
    }

    /// Records how long a connection took to be established.
    pub fn record_connect(&mut self, connect_time: Nanos) {
        self.connect_time.record(connect_time);
        self.fastest.record_connect(connect_time);
    }

    /// Records the time from a command to its reply, where no copy of an earlier reply can have been taken for it.
    pub fn record_own_response(&mut self, latency: Nanos) {
        self.fastest.record_response(latency);
    }

    /// The fastest exchanges.
    pub(crate) fn fastest(&self) -> &FastestExchange {
        &self.fastest
    }

    /// The latency of commands of this kind that were written behind no other.
    pub fn head_latency(&self, kind: CommandKind) -> &LatencyHistogram {
        &self.head[usize::from(kind.write)]
    }

    /// The time from one answer to that of the command behind it.
    pub fn answer_gap(&self) -> &LatencyHistogram {
        &self.answer_gap
    }

    /// The time that connections took to be established.
    pub fn connect_time(&self) -> &LatencyHistogram {
        &self.connect_time
    }
}
