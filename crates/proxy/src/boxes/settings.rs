//! What the files say of connections to cache nodes.

use super::MS;
use crate::platform::config::Config;
use pipeline::{PipelineConfig, PlacementPolicy, SettleDelay};
use resp::{Frame, Protocol};

/// The longest password that nodes are told.
const MAX_PASSWORD: usize = 512;

/// What connections are greeted with, if the operator's file allows RESP3.
///
/// # Errors
/// The key and what is wrong with it.
pub fn hello_command(told: &operator::Boxes) -> Result<Option<Vec<u8>>, String> {
    let mut words = vec![Frame::text("HELLO"), Frame::text("3")];
    if let (Some(user), Some(path)) = (&told.user, &told.password_file) {
        let fault = |what: String| format!("boxes.password_file: {}: {what}", path.display());
        let password = std::fs::read_to_string(path).map_err(|e| fault(format!("can't be read: {e}")))?;
        let password = password.trim_end_matches(['\r', '\n']);
        if password.is_empty() || password.len() > MAX_PASSWORD {
            return Err(fault(format!("does not hold a password of 1 to {MAX_PASSWORD} bytes")));
        }
        words.extend([Frame::text("AUTH"), Frame::text(user), Frame::text(password)]);
    }
    let mut bytes = Vec::new();
    Frame::Array(words).write(Protocol::Two, &mut bytes);
    Ok(told.resp3.then_some(bytes))
}

/// What the operator's file says of pipelines, within the platform's bounds: one command at a time unless it says
/// otherwise.
///
/// Danger: answers are told apart by their order alone, and boxes may send more than was asked for right behind a good
/// answer. A second command that is on its way to the box by then is given that surplus as its answer, and nothing in
/// RESP shows it. What goes out one at a time finds such bytes before the next command is written.
///
/// # Errors
/// A line for each key that goes past these: the key, its value and the bound.
pub fn pipeline_limits(told: &operator::Pipeline, config: &Config) -> Result<PipelineConfig, String> {
    let most = config.streams;
    let over = |(key, depth): &(&str, Option<usize>)| {
        let depth = depth.filter(|d| *d > most)?;
        Some(format!("pipeline.{key}: is {depth}; settings.caps.streams_per_conn allows {most}"))
    };
    let faults: Vec<String> =
        [("reads", told.reads), ("writes", told.writes)].iter().filter_map(over).collect();
    if !faults.is_empty() {
        return Err(faults.join("\n"));
    }
    let depth = |reads_or_writes: Option<usize>| reads_or_writes.filter(|_| told.enabled).unwrap_or(1);
    let depth = [depth(told.reads), depth(told.writes)];
    // Where commands go behind one another anyway, a rest before the first of them guards nothing.
    let rest = told.rest_ms.map(|ms| ms * MS).or((depth != [1, 1]).then_some(0));
    Ok(PipelineConfig {
        placement: if told.expected { PlacementPolicy::Expected } else { PlacementPolicy::Fixed },
        max_depth: depth,
        separate_kinds: told.apart,
        head_quantile: told.head_quantile,
        handshake_cost: told.handshake_cost,
        settle_delay: SettleDelay::new(rest),
    })
}
