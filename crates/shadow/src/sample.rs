//! Which reads are copied, and to which candidate: by the key, so that a candidate is asked for a part of the keys by
//! all proxies alike, and its cache warms as a live one would.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The whole, in parts.
pub const PARTS_PER_MILLION: u32 = 1_000_000;

/// Whose reads are copied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tenants {
    /// Everybody's, also those that name no tenant.
    #[default]
    All,
    /// Of these alone, by number.
    Only(Vec<u32>),
    /// Of all but these; those that name none are copied.
    Except(Vec<u32>),
}

impl Tenants {
    /// Reads of this tenant are copied.
    pub fn contains(&self, tenant: Option<u32>) -> bool {
        match self {
            Tenants::All => true,
            Tenants::Only(these) => tenant.is_some_and(|t| these.contains(&t)),
            Tenants::Except(these) => tenant.is_none_or(|t| !these.contains(&t)),
        }
    }
}

/// A key's place: the same at every proxy with this salt, and no way back to the key without it.
pub fn sampling_hash(salt: u64, key: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 0x7368_6164_6f77);
    hasher.write_u64(key);
    hasher.finish()
}

/// Of these million parts of the keys the place is one. Whoever is in a part is in each larger one.
pub fn is_sampled(place: u64, parts: u32) -> bool {
    // Unbiased enough: the error is below one in 2^32.
    (((place >> 32) * u64::from(PARTS_PER_MILLION)) >> 32) < u64::from(parts)
}

/// The candidate for a key, by its index: highest random weight (Thaler, Ravishankar 1998), so that one that comes or
/// leaves moves no key between the others. Nothing if there is none.
pub fn pick_candidate(place: u64, candidates: impl Iterator<Item = u64>) -> Option<usize> {
    let weight = |id: u64| {
        let mut hasher = SipHasher13::new_with_keys(place, id);
        hasher.write_u64(id);
        hasher.finish()
    };
    candidates.enumerate().max_by_key(|(_, id)| weight(*id)).map(|(index, _)| index)
}

/// The digest of a value, as it comes. Not for values that an adversary has chosen to collide.
#[derive(Clone, Debug, Default)]
pub struct Digest(SipHasher13);

impl Digest {
    /// Takes in more bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.write(bytes);
    }

    /// Of all bytes so far.
    pub fn finish(&self) -> u64 {
        self.0.finish()
    }

    /// Of these bytes.
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
    fn a_larger_part_holds_the_smaller_one_and_is_as_large_as_it_says() {
        let places: Vec<u64> = (0..200_000).map(|key| sampling_hash(9, key)).collect();
        for parts in [0, 1_000, 10_000, 250_000, PARTS_PER_MILLION] {
            let share = places.iter().filter(|p| is_sampled(**p, parts)).count() as f64 / 200_000.0;
            let wanted = f64::from(parts) / f64::from(PARTS_PER_MILLION);
            assert!((share - wanted).abs() <= 0.15 * wanted, "{share} for {wanted}");
            assert!(places
                .iter()
                .all(|p| !is_sampled(*p, parts)
                    || is_sampled(*p, parts.saturating_mul(2).min(PARTS_PER_MILLION))));
        }
        assert_ne!(sampling_hash(9, 1), sampling_hash(10, 1), "another salt chooses other keys");
    }

    #[test]
    fn a_candidate_that_leaves_moves_only_its_own_keys() {
        let all = [11_u64, 12, 13, 14];
        let mut counts = [0; 4];
        for key in 0..40_000 {
            let place = sampling_hash(1, key);
            let with = pick_candidate(place, all.into_iter()).expect("one");
            counts[with] += 1;
            let without = pick_candidate(place, all[..3].iter().copied()).expect("one");
            assert!(with == 3 || with == without);
        }
        assert!(counts.iter().all(|n| (9_000..11_000).contains(n)), "{counts:?}");
        assert_eq!(pick_candidate(1, std::iter::empty()), None);
    }

    #[test]
    fn a_digest_is_of_the_bytes_however_they_came() {
        let mut parts = Digest::default();
        parts.update(b"ab");
        parts.update(b"cde");
        assert_eq!(parts.finish(), Digest::of(b"abcde"));
        assert_ne!(parts.finish(), Digest::of(b"abcdf"));
    }
}
