//! What boxes were measured to take.

use crate::{CommandKind, Nanos};

/// The shortest time that is told apart.
const SHORTEST: Nanos = 64_000;
/// Two classes an octave, from 64 us to 4 s.
const CLASSES: usize = 33;
/// Beyond so many, older ones count half.
const KEPT: u16 = 512;
/// From so many outcomes on, a time is known.
const EVIDENCE: u16 = 8;

/// BoxLatencies, counted in classes that grow by the square root of two; old ones fade as new ones come.
/// 68 bytes.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: [u16; CLASSES],
    all: u16,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram::NONE
    }
}

/// The upper ends of the classes.
const ENDS: [Nanos; CLASSES] = {
    let mut ends = [0; CLASSES];
    let mut class = 0;
    while class < CLASSES {
        let octave = SHORTEST << (class / 2);
        ends[class] = if class % 2 == 0 { octave } else { octave + octave * 53 / 128 };
        class += 1;
    }
    ends
};

/// A time that stands for a class.
fn middle(class: usize) -> Nanos {
    ENDS[class] - ENDS[class] / 7
}

impl LatencyHistogram {
    /// Nothing seen.
    pub const NONE: LatencyHistogram = LatencyHistogram { counts: [0; CLASSES], all: 0 };

    /// Takes one more.
    pub fn record(&mut self, time: Nanos) {
        let class = ENDS.partition_point(|end| *end < time).min(CLASSES - 1);
        self.counts[class] += 1;
        self.all += 1;
        if self.all > KEPT {
            self.counts.iter_mut().for_each(|n| *n /= 2);
            self.all = self.counts.iter().sum();
        }
    }

    /// From how many it speaks.
    pub fn sample_count(&self) -> u16 {
        self.all
    }

    /// The time that this part of them does not pass; nothing where there are too few to say.
    pub fn quantile(&self, part: f64) -> Option<Nanos> {
        // Of ten times none says where the 99th percentile is.
        if self.all < EVIDENCE || f64::from(self.all) * (1.0 - part) < 0.5 {
            return None;
        }
        let wanted = f64::from(self.all) * part;
        let mut sum = 0.0;
        for (class, n) in self.counts.iter().enumerate() {
            sum += f64::from(*n);
            if sum >= wanted {
                return Some(ENDS[class]);
            }
        }
        Some(ENDS[CLASSES - 1])
    }

    /// The longest that was seen, if anything was.
    pub fn max(&self) -> Option<Nanos> {
        self.counts.iter().rposition(|n| *n > 0).map(|class| ENDS[class])
    }

    /// How much longer something takes that has taken so long: the mean of what longer ones took beyond it. What has
    /// outlasted all that was seen is expected to take as long again. Nothing without evidence.
    pub fn expected_remaining(&self, age: Nanos) -> Option<Nanos> {
        if self.all < EVIDENCE {
            return None;
        }
        let (mut n, mut sum) = (0.0, 0.0);
        for (class, count) in self.counts.iter().enumerate().filter(|(c, _)| middle(*c) > age) {
            n += f64::from(*count);
            sum += f64::from(*count) * (middle(class) - age) as f64;
        }
        Some(if n < 0.5 { age } else { (sum / n) as Nanos })
    }
}

/// What one box was measured to take, over all connections to it.
#[derive(Clone, Debug, Default)]
pub struct BoxLatencies {
    /// From the last byte of a command to its answer, where nothing stood before it: of reads and of writes.
    alone: [LatencyHistogram; 2],
    /// From one answer to the next, where the later command stood behind: nearly nothing at a box that works on the
    /// commands of a connection at once, a whole service time at one that takes them one by one.
    gaps: LatencyHistogram,
    /// From the first packet of a connection until it is up.
    connects: LatencyHistogram,
}

impl BoxLatencies {
    /// Nothing seen.
    pub const NONE: BoxLatencies = BoxLatencies {
        alone: [LatencyHistogram::NONE; 2],
        gaps: LatencyHistogram::NONE,
        connects: LatencyHistogram::NONE,
    };

    /// An answer came.
    pub fn record_answer(&mut self, kind: CommandKind, pipelined: bool, latency: Nanos, head_time: Nanos) {
        if pipelined {
            self.gaps.record(head_time);
        } else {
            self.alone[usize::from(kind.write)].record(latency);
        }
    }

    /// A connection came up after so long.
    pub fn record_connect(&mut self, took: Nanos) {
        self.connects.record(took);
    }

    /// What heads took, of this kind.
    pub fn head_latency(&self, kind: CommandKind) -> &LatencyHistogram {
        &self.alone[usize::from(kind.write)]
    }

    /// What the next took after one was answered.
    pub fn answer_gap(&self) -> &LatencyHistogram {
        &self.gaps
    }

    /// What connections took to come up.
    pub fn connect_time(&self) -> &LatencyHistogram {
        &self.connects
    }
}
