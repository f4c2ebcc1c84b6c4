//! The order of commands on a connection, against a plain account of the same events.

use pipeline::{CancelOutcome, Command, CommandKind, DisconnectOutcome, Pipeline};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

#[derive(Debug)]
struct Job(u32);

impl Command for Job {
    type Tag = u32;
    fn tag(&self) -> u32 {
        self.0
    }
    fn kind(&self) -> CommandKind {
        CommandKind { write: self.0 % 2 == 1, large_value: false }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Push,
    /// A batch of so many is begun, and so many bytes of it are taken.
    Write(usize, usize),
    Answer,
    Cancel(u32),
    Strand,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Push),
        3 => (1..5_usize, 0..40_usize).prop_map(|(n, bytes)| Step::Write(n, bytes)),
        2 => Just(Step::Answer),
        1 => (0..40_u32).prop_map(Step::Cancel),
        1 => Just(Step::Strand),
    ];
    proptest::collection::vec(step, 0..120)
}

/// How long a command is, in bytes.
fn length(tag: u32) -> usize {
    3 + tag as usize % 9
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_events_accounts_for_each_command_once_and_calls_none_written_harmless(steps in steps()) {
        let mut pipe = Pipeline::default();
        // What went over the wire, byte by byte, as the box would see it.
        let (mut wire, mut buffer): (Vec<u32>, Vec<u32>) = (Vec::new(), Vec::new());
        let (mut pushed, mut left, mut answers) = (0, Vec::new(), 0);
        let whole = |wire: &[u32]| {
            let mut whole = Vec::new();
            let mut at = 0;
            while at < wire.len() && at + length(wire[at]) <= wire.len() {
                whole.push(wire[at]);
                at += length(wire[at]);
            }
            whole
        };
        let mut broken = false;
        for step in steps {
            match step {
                Step::Push => {
                    pipe.push(Job(pushed));
                    pushed += 1;
                }
                Step::Write(n, mut bytes) => {
                    if !pipe.has_batch() {
                        buffer.clear();
                        for _ in 0..n {
                            let Some(job) = pipe.pop_queued() else { break };
                            let bytes = length(job.0);
                            buffer.extend(std::iter::repeat_n(job.0, bytes));
                            pipe.add_to_batch(job, bytes);
                        }
                    }
                    let (all, written) = pipe.batch_progress();
                    prop_assert_eq!(all, buffer.len());
                    bytes = bytes.min(all - written);
                    wire.extend(&buffer[written..written + bytes]);
                    let mut told = Vec::new();
                    let before = whole(&wire[..wire.len() - bytes]).len();
                    pipe.record_written(bytes, MS, |job| told.push(job.0));
                    prop_assert_eq!(&told[..], &whole(&wire)[before..]);
                    buffer.truncate(pipe.requeue_unstarted());
                }
                Step::Answer => {
                    let asked = whole(&wire);
                    let answered = pipe.complete_head(2 * MS);
                    prop_assert_eq!(answered.is_some(), answers < asked.len());
                    if let Some(answered) = answered {
                        let tag = asked[answers];
                        answers += 1;
                        prop_assert_eq!(answered.tag, (!left.contains(&tag)).then_some(tag));
                        left.extend(answered.tag);
                    }
                }
                Step::Cancel(tag) => {
                    let asked = whole(&wire);
                    let there = asked.iter().position(|t| *t == tag);
                    let called = pipe.cancel(tag);
                    match called {
                        CancelOutcome::NotFound => prop_assert!(tag >= pushed || left.contains(&tag)),
                        CancelOutcome::Queued => prop_assert!(!wire.contains(&tag)),
                        CancelOutcome::PartlyWritten => prop_assert!(wire.contains(&tag) && there.is_none()),
                        CancelOutcome::Written => prop_assert!(there.is_some_and(|at| at >= answers)),
                    }
                    if called != CancelOutcome::NotFound {
                        prop_assert!(!left.contains(&tag));
                        left.push(tag);
                    }
                    if called == CancelOutcome::PartlyWritten {
                        broken = true;
                        break;
                    }
                }
                Step::Strand => left.extend(pipe.take_queued().into_iter().map(|job| {
                    assert!(!wire.contains(&job.0), "{} was begun and is moved", job.0);
                    job.0
                })),
            }
            let dead = pipe.has_cancelled_in_flight();
            prop_assert!(!dead || pipe.in_flight() > 0);
        }
        let asked = whole(&wire);
        let mut order = Vec::new();
        for (tag, fate) in pipe.into_outcomes() {
            // Never harmless what was written whole, never uncertain what was not.
            prop_assert_eq!(fate == DisconnectOutcome::Unknown, asked.contains(&tag), "{} is {:?}", tag, fate);
            prop_assert!(!left.contains(&tag), "{} leaves twice", tag);
            left.push(tag);
            order.push(tag);
        }
        prop_assert!(order.is_sorted(), "out of order: {:?}", order);
        left.sort_unstable();
        prop_assert_eq!(left, (0..pushed).collect::<Vec<_>>(), "broken: {}", broken);
    }
}

#[test]
fn the_age_of_a_head_counts_from_when_it_became_the_first() {
    let mut pipe = Pipeline::default();
    for tag in 0..2 {
        pipe.push(Job(tag));
        let job = pipe.pop_queued().expect("it waits");
        pipe.add_to_batch(job, 1);
        pipe.record_written(1, u64::from(tag) * MS, |_| ());
    }
    assert_eq!(pipe.head_age(10 * MS), Some(10 * MS));
    let first = pipe.complete_head(12 * MS).expect("the first");
    assert_eq!((first.latency, first.head_time, first.pipelined), (12 * MS, 12 * MS, false));
    assert_eq!(pipe.head_age(13 * MS), Some(MS));
    let second = pipe.complete_head(15 * MS).expect("the second");
    assert_eq!((second.latency, second.head_time, second.pipelined), (14 * MS, 3 * MS, true));
    assert_eq!(pipe.head_age(15 * MS), None);
}
