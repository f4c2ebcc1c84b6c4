//! Shared by the tests.

/// Splits `bytes` at the given offsets, taken modulo the length.
pub fn split<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|w| &bytes[w[0]..w[1]]).collect()
}
