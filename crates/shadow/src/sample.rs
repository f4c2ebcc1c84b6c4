//! Sampling: which reads are copied, and to which candidate. Both depend on the key alone, so all proxies send a
//! candidate the same part of the keys, and its cache warms up as that of a live box would.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// All keys, in parts per million.
pub const PARTS_PER_MILLION: u32 = 1_000_000;

/// The tenants whose reads are copied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tenants {
    /// All reads, including those that name no tenant.
    #[default]
    All,
    /// Only reads of these tenants, by index.
    Only(Vec<u32>),
    /// All reads except those of these tenants; reads that name no tenant are copied.
    Except(Vec<u32>),
}

impl Tenants {
    /// Whether reads of this tenant are copied.
    pub fn contains(&self, tenant: Option<u32>) -> bool {
        match self {
            Tenants::All => true,
            Tenants::Only(tenants) => tenant.is_some_and(|t| tenants.contains(&t)),
            Tenants::Except(tenants) => tenant.is_none_or(|t| !tenants.contains(&t)),
        }
    }
}

/// The hash of a key that sampling uses: the same at every proxy with this salt, and not reversible without it.
pub fn sampling_hash(salt: u64, key: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 0x7368_6164_6f77);
    hasher.write_u64(key);
    hasher.finish()
}

/// Whether a key is in a sample of this many parts per million. A key in one sample is also in each larger sample.
pub fn is_sampled(key_hash: u64, ppm: u32) -> bool {
    // The bias of the multiplication is below 2^-32.
    (((key_hash >> 32) * u64::from(PARTS_PER_MILLION)) >> 32) < u64::from(ppm)
}

/// The index of the candidate for a key by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998), so
/// that a candidate that is added or removed moves no key between the others. `None` without candidates.
pub fn pick_candidate(key_hash: u64, candidates: impl Iterator<Item = u64>) -> Option<usize> {
    let weight = |id: u64| {
        let mut hasher = SipHasher13::new_with_keys(key_hash, id);
        hasher.write_u64(id);
        hasher.finish()
    };
    candidates.enumerate().max_by_key(|(_, id)| weight(*id)).map(|(index, _)| index)
}

/// An incremental digest of a value. It does not resist collisions that an adversary has chosen.
#[derive(Clone, Debug, Default)]
pub struct Digest(SipHasher13);

impl Digest {
    /// Adds bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.write(bytes);
    }

    /// The digest of all bytes so far.
    pub fn finish(&self) -> u64 {
        self.0.finish()
    }

    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> u64 {
        let mut digest = Digest::default();
        digest.update(bytes);
        digest.finish()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_larger_sample_contains_the_smaller_one_and_each_has_the_configured_size() {
        let hashes: Vec<u64> = (0..200_000).map(|key| sampling_hash(9, key)).collect();
        for ppm in [0, 1_000, 10_000, 250_000, PARTS_PER_MILLION] {
            let share = hashes.iter().filter(|h| is_sampled(**h, ppm)).count() as f64 / 200_000.0;
            let expected = f64::from(ppm) / f64::from(PARTS_PER_MILLION);
            assert!((share - expected).abs() <= 0.15 * expected, "{share} for {expected}");
            assert!(hashes.iter().all(
                |h| !is_sampled(*h, ppm) || is_sampled(*h, ppm.saturating_mul(2).min(PARTS_PER_MILLION))
            ));
        }
        assert_ne!(sampling_hash(9, 1), sampling_hash(10, 1), "another salt must sample other keys");
    }

    #[test]
    fn removing_a_candidate_moves_only_its_own_keys() {
        let all = [11_u64, 12, 13, 14];
        let mut counts = [0; 4];
        for key in 0..40_000 {
            let key_hash = sampling_hash(1, key);
            let with = pick_candidate(key_hash, all.into_iter()).expect("one");
            counts[with] += 1;
            let without = pick_candidate(key_hash, all[..3].iter().copied()).expect("one");
            assert!(with == 3 || with == without);
        }
        assert!(counts.iter().all(|n| (9_000..11_000).contains(n)), "{counts:?}");
        assert_eq!(pick_candidate(1, std::iter::empty()), None);
    }

    #[test]
    fn a_digest_does_not_depend_on_how_the_bytes_are_split() {
        let mut digest = Digest::default();
        digest.update(b"ab");
        digest.update(b"cde");
        assert_eq!(digest.finish(), Digest::of(b"abcde"));
        assert_ne!(digest.finish(), Digest::of(b"abcdf"));
    }
}
