//! Estimates how long a connection may have been idle and still be reused.

use calicosaddle::api::Nanos;

const MS: Nanos = 1_000_000;

/// Outcomes of reusing idle connections, by idle time. The idle-time classes double from 16 ms on.
///
/// Some nodes close idle connections earlier than configured, without notice: the next request on such a connection
/// is reset and may have run. A firewall that drops connection state has the same effect. Connections also break for
/// other reasons, at any age; if a few of those counted as early closes, each request would open a new connection,
/// which costs two round trips and work at the node. A class is therefore excluded only when a substantial fraction
/// of its reused connections broke, counted over all nodes, and is used again once the counts have decayed.
#[derive(Debug, Default)]
pub struct IdleOutcomes {
    /// Decaying counts by class: connections reused, and those of them that broke at once.
    classes: [(f64, f64); 12],
}

impl IdleOutcomes {
    /// Upper bound of the first class.
    const FIRST_CLASS: Nanos = 16 * MS;
    /// A class is excluded at this many broken connections and this fraction of all: a new connection costs about
    /// twice as much as a request that is reset and sent again.
    const MIN_BROKEN: f64 = 2.5;
    const MIN_BROKEN_FRACTION: f64 = 0.4;
    /// Time constant of the decay; the counts halve in about 20 s.
    const DECAY_SECONDS: f64 = 30.0;

    /// Records the reuse of a connection after `idle`, and whether it broke at once.
    pub fn record(&mut self, idle: Nanos, broke: bool) {
        let class = (idle / Self::FIRST_CLASS).checked_ilog2().map_or(0, |c| c as usize + 1);
        let last = self.classes.len() - 1;
        let (used, broken) = &mut self.classes[class.min(last)];
        *used += 1.0;
        *broken += f64::from(u8::from(broke));
    }

    /// The longest idle time after which a connection may be reused, at most `configured`.
    pub fn limit(&self, configured: Nanos) -> Nanos {
        let excluded = |(used, broken): &(f64, f64)| {
            *broken >= Self::MIN_BROKEN && *broken >= Self::MIN_BROKEN_FRACTION * used
        };
        // The first class always stays: without it no connection would be reused at all.
        let class = self.classes.iter().skip(1).position(excluded);
        class.map_or(configured, |c| configured.min(Self::FIRST_CLASS << c))
    }

    /// Decays the counts exponentially by the time that has elapsed, so that old outcomes lose weight and an excluded
    /// idle time may be used again.
    pub fn decay(&mut self, elapsed: Nanos) {
        let factor = (-(elapsed as f64) / (Self::DECAY_SECONDS * 1_000.0 * MS as f64)).exp();
        self.classes
            .iter_mut()
            .for_each(|(used, broken)| (*used, *broken) = (*used * factor, *broken * factor));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_idle_time_is_excluded_by_its_fraction_of_broken_connections_and_allowed_again_after_decay() {
        let configured = 4_000 * MS;
        let mut outcomes = IdleOutcomes::default();
        for i in 0..40 {
            outcomes.record(300 * MS, i % 8 == 0);
            outcomes.record(5 * MS, true);
        }
        assert_eq!(outcomes.limit(configured), configured);
        (0..4).for_each(|_| outcomes.record(1_500 * MS, true));
        assert_eq!(outcomes.limit(configured), 1_024 * MS);
        outcomes.decay(60_000 * MS);
        assert_eq!(outcomes.limit(configured), configured);
    }
}
