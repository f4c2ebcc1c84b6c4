//! The order of commands on a connection, checked against a byte-by-byte model of the wire.

use pipeline::{CancelOutcome, Command, CommandKind, DisconnectOutcome, Pipeline};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

#[derive(Debug)]
struct TestCommand(u32);

impl Command for TestCommand {
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
    /// Begins a batch of this many commands unless there is one, and writes this many bytes of it.
    Write(usize, usize),
    Answer,
    Cancel(u32),
    TakeQueued,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Push),
        3 => (1..5_usize, 0..40_usize).prop_map(|(n, bytes)| Step::Write(n, bytes)),
        2 => Just(Step::Answer),
        1 => (0..40_u32).prop_map(Step::Cancel),
        1 => Just(Step::TakeQueued),
    ];
    proptest::collection::vec(step, 0..120)
}

/// The length of a command in bytes.
fn length(tag: u32) -> usize {
    3 + tag as usize % 9
}

/// The tags of the commands that stand completely on the wire. Each byte of the wire is the tag of its command.
fn complete_commands(wire: &[u32]) -> Vec<u32> {
    let mut complete = Vec::new();
    let mut at = 0;
    while at < wire.len() && at + length(wire[at]) <= wire.len() {
        complete.push(wire[at]);
        at += length(wire[at]);
    }
    complete
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn each_command_leaves_once_and_only_completely_written_ones_may_have_run(steps in steps()) {
        let mut pipeline = Pipeline::default();
        // The bytes that the box has received, and those of the batch.
        let (mut wire, mut buffer): (Vec<u32>, Vec<u32>) = (Vec::new(), Vec::new());
        // The commands pushed, those that have left the pipeline, and the number of answers.
        let (mut pushed, mut left, mut answers) = (0, Vec::new(), 0);
        let mut partly_written = false;
        for step in steps {
            match step {
                Step::Push => {
                    pipeline.push(TestCommand(pushed));
                    pushed += 1;
                }
                Step::Write(n, mut bytes) => {
                    if !pipeline.has_batch() {
                        buffer.clear();
                        for _ in 0..n {
                            let Some(command) = pipeline.pop_queued() else { break };
                            let bytes = length(command.0);
                            buffer.extend(std::iter::repeat_n(command.0, bytes));
                            pipeline.add_to_batch(command, bytes);
                        }
                    }
                    let (all, written) = pipeline.batch_progress();
                    prop_assert_eq!(all, buffer.len());
                    bytes = bytes.min(all - written);
                    wire.extend(&buffer[written..written + bytes]);
                    let mut completed = Vec::new();
                    let before = complete_commands(&wire[..wire.len() - bytes]).len();
                    pipeline.record_written(bytes, MS, |command| completed.push(command.0));
                    prop_assert_eq!(&completed[..], &complete_commands(&wire)[before..]);
                    buffer.truncate(pipeline.requeue_unstarted());
                }
                Step::Answer => {
                    let received = complete_commands(&wire);
                    let completed = pipeline.complete_head(2 * MS);
                    prop_assert_eq!(completed.is_some(), answers < received.len());
                    if let Some(completed) = completed {
                        let tag = received[answers];
                        answers += 1;
                        prop_assert_eq!(completed.tag, (!left.contains(&tag)).then_some(tag));
                        left.extend(completed.tag);
                    }
                }
                Step::Cancel(tag) => {
                    let received = complete_commands(&wire);
                    let position = received.iter().position(|t| *t == tag);
                    let outcome = pipeline.cancel(tag);
                    match outcome {
                        CancelOutcome::NotFound => prop_assert!(tag >= pushed || left.contains(&tag)),
                        CancelOutcome::Queued => prop_assert!(!wire.contains(&tag)),
                        CancelOutcome::PartlyWritten => {
                            prop_assert!(wire.contains(&tag) && position.is_none());
                        }
                        CancelOutcome::Written => prop_assert!(position.is_some_and(|at| at >= answers)),
                    }
                    if outcome != CancelOutcome::NotFound {
                        prop_assert!(!left.contains(&tag));
                        left.push(tag);
                    }
                    if outcome == CancelOutcome::PartlyWritten {
                        partly_written = true;
                        break;
                    }
                }
                Step::TakeQueued => left.extend(pipeline.take_queued().into_iter().map(|command| {
                    assert!(!wire.contains(&command.0), "{} is partly written but was queued", command.0);
                    command.0
                })),
            }
            prop_assert!(!pipeline.has_cancelled_in_flight() || pipeline.in_flight() > 0);
        }
        let received = complete_commands(&wire);
        let mut order = Vec::new();
        for (tag, outcome) in pipeline.into_outcomes() {
            let may_have_run = received.contains(&tag);
            prop_assert_eq!(outcome == DisconnectOutcome::Unknown, may_have_run, "{} is {:?}", tag, outcome);
            prop_assert!(!left.contains(&tag), "{} leaves twice", tag);
            left.push(tag);
            order.push(tag);
        }
        prop_assert!(order.is_sorted(), "out of order: {:?}", order);
        left.sort_unstable();
        prop_assert_eq!(left, (0..pushed).collect::<Vec<_>>(), "partly written: {}", partly_written);
    }
}

#[test]
fn the_age_of_a_head_counts_from_when_it_became_the_head() {
    let mut pipeline = Pipeline::default();
    for tag in 0..2 {
        pipeline.push(TestCommand(tag));
        let command = pipeline.pop_queued().expect("a queued command");
        pipeline.add_to_batch(command, 1);
        pipeline.record_written(1, u64::from(tag) * MS, |_| ());
    }
    assert_eq!(pipeline.head_age(10 * MS), Some(10 * MS));
    let first = pipeline.complete_head(12 * MS).expect("the first command");
    assert_eq!((first.latency, first.head_time, first.pipelined), (12 * MS, 12 * MS, false));
    assert_eq!(pipeline.head_age(13 * MS), Some(MS));
    let second = pipeline.complete_head(15 * MS).expect("the second command");
    assert_eq!((second.latency, second.head_time, second.pipelined), (14 * MS, 3 * MS, true));
    assert_eq!(pipeline.head_age(15 * MS), None);
}
