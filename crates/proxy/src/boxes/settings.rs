//! Connection settings that are derived from the operator's file and the platform's configuration.

use super::MS;
use crate::platform::config::Config;
use pipeline::{PipelineConfig, PlacementPolicy, SettleDelay};
use resp::{Frame, Protocol};

/// The longest password that is sent to cache nodes.
const MAX_PASSWORD_BYTES: usize = 512;

/// The `HELLO 3` command that opens each connection, or `None` if the operator's file does not allow RESP3.
///
/// # Errors
/// The password file is unreadable or its content is out of bounds; the message names the key and the file.
pub fn hello_command(options: &operator::Boxes) -> Result<Option<Vec<u8>>, String> {
    let mut words = vec![Frame::bulk_string("HELLO"), Frame::bulk_string("3")];
    if let (Some(user), Some(path)) = (&options.user, &options.password_file) {
        let error = |what: String| format!("boxes.password_file: {}: {what}", path.display());
        let password = std::fs::read_to_string(path).map_err(|e| error(format!("can't be read: {e}")))?;
        let password = password.trim_end_matches(['\r', '\n']);
        if password.is_empty() || password.len() > MAX_PASSWORD_BYTES {
            return Err(error(format!("must contain a password of 1 to {MAX_PASSWORD_BYTES} bytes")));
        }
        words.extend([Frame::bulk_string("AUTH"), Frame::bulk_string(user), Frame::bulk_string(password)]);
    }
    let mut bytes = Vec::new();
    Frame::Array(words).write(Protocol::Two, &mut bytes);
    Ok(options.resp3.then_some(bytes))
}

/// The pipeline configuration of the operator's file, checked against the platform's bounds. Without other settings a
/// connection carries one command at a time.
///
/// Replies are matched to commands by order alone, and cache nodes may send unsolicited bytes right behind a valid
/// reply. A second command that is already on its way would be given those bytes as its reply, and nothing in RESP
/// reveals it. With one command at a time the bytes are detected before the next command is written.
///
/// # Errors
/// One line for each key that exceeds its bound, with the key, its value and the bound.
pub fn pipeline_config(options: &operator::Pipeline, config: &Config) -> Result<PipelineConfig, String> {
    let max_depth = config.max_streams;
    let bound_error = |(key, depth): &(&str, Option<usize>)| {
        let depth = depth.filter(|d| *d > max_depth)?;
        Some(format!("pipeline.{key}: is {depth}; settings.caps.streams_per_conn allows {max_depth}"))
    };
    let depths = [("reads", options.reads), ("writes", options.writes)];
    let errors: Vec<String> = depths.iter().filter_map(bound_error).collect();
    if !errors.is_empty() {
        return Err(errors.join("\n"));
    }
    let depth = |configured: Option<usize>| configured.filter(|_| options.enabled).unwrap_or(1);
    let depth = [depth(options.reads), depth(options.writes)];
    // A settle delay before the first command is useless where further commands follow without one.
    let settle_delay = options.settle_delay_ms.map(|ms| ms * MS).or((depth != [1, 1]).then_some(0));
    Ok(PipelineConfig {
        placement: if options.expected_placement {
            PlacementPolicy::Expected
        } else {
            PlacementPolicy::Fixed
        },
        max_depth: depth,
        separate_kinds: options.separate_kinds,
        head_quantile: options.head_quantile,
        handshake_cost: options.handshake_cost,
        settle_delay: SettleDelay::new(settle_delay),
    })
}
