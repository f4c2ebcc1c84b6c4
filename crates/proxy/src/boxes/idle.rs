//! How long connections may rest and still be used, as it was learned.

use calicosaddle::api::Nanos;

const MS: Nanos = 1_000_000;

/// What becomes of connections that are used again after being idle, by how long they were: the classes double
/// from 16 ms on.
///
/// Guards against nodes that end idle connections sooner than stated, without a word: the next request on each
/// is reset and may have run. It should also catch a firewall that forgets connections. Danger: connections
/// break for other reasons too, at any age; taken for such an end, a few of these would have a new connection
/// opened for each request, which costs two round trips and work at the node. So a class is given up only when
/// a good part of those that were used broke, counted over all nodes, and comes back as the counts fade.
#[derive(Debug, Default)]
pub struct Rests {
    /// Fading counts for each class: used again, and of these broken at once.
    classes: [(f64, f64); 12],
}

impl Rests {
    const SHORTEST: Nanos = 16 * MS;
    /// So many must have broken, and this part of all: a new connection costs about twice what a request that
    /// is reset and sent again costs.
    const BROKEN: f64 = 2.5;
    const PART: f64 = 0.4;
    /// The counts halve in about 20 s.
    const FADE_S: f64 = 30.0;

    /// A connection that had been idle for so long was used.
    pub fn used(&mut self, rested: Nanos, broke: bool) {
        let class = (rested / Self::SHORTEST).checked_ilog2().map_or(0, |c| c as usize + 1);
        let last = self.classes.len() - 1;
        let (used, broken) = &mut self.classes[class.min(last)];
        *used += 1.0;
        *broken += f64::from(u8::from(broke));
    }

    /// How long a connection may have been idle and still be used.
    pub fn fresh(&self, stated: Nanos) -> Nanos {
        let bad = |(used, broken): &(f64, f64)| *broken >= Self::BROKEN && *broken >= Self::PART * used;
        // Danger: without the shortest class no connection would be used twice.
        let class = self.classes.iter().skip(1).position(bad);
        class.map_or(stated, |c| stated.min(Self::SHORTEST << c))
    }

    /// So much time has passed.
    pub fn fade(&mut self, passed: Nanos) {
        let keep = (-(passed as f64) / (Self::FADE_S * 1_000.0 * MS as f64)).exp();
        self.classes.iter_mut().for_each(|(used, broken)| (*used, *broken) = (*used * keep, *broken * keep));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_idle_time_is_given_up_by_the_part_that_breaks_and_tried_again_later() {
        let stated = 4_000 * MS;
        let mut rests = Rests::default();
        for i in 0..40 {
            rests.used(300 * MS, i % 8 == 0);
            rests.used(5 * MS, true);
        }
        assert_eq!(rests.fresh(stated), stated);
        (0..4).for_each(|_| rests.used(1_500 * MS, true));
        assert_eq!(rests.fresh(stated), 1_024 * MS);
        rests.fade(60_000 * MS);
        assert_eq!(rests.fresh(stated), stated);
    }
}
