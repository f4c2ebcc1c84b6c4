//! Hash functions shared by the decisions. They are deterministic, so that all proxies agree without talking to
//! each other.

use crate::api::ServerId;

/// Mixes the bits of a 64-bit value (the finalizer of SplitMix64).
pub(super) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number above 0 and at most 1.
pub(super) fn unit(x: u64) -> f64 {
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// Returns the rendezvous score of a server for a salt; lower scores rank first.
///
/// The score does not depend on which other servers exist. Divided by the server's weight, it ranks servers in
/// proportion to their weights.
pub(super) fn rendezvous_score(salt: u64, server: ServerId) -> f64 {
    -unit(mix(salt ^ server)).ln()
}
