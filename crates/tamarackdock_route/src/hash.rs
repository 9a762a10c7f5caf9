/// Hashes bytes to the same value on every node and in every version (FNV-1a,
/// followed by the finalizer of `SplitMix64`).
#[must_use]
pub fn fingerprint(bytes: &[u8]) -> u64 {
    let folded = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(folded)
}

/// Returns the score of a pair in rendezvous hashing. The highest score wins.
pub(crate) fn score(left: u64, right: u64) -> u64 {
    mix(left ^ mix(right))
}

/// Applies the finalizer of `SplitMix64`, in which each input bit affects all
/// output bits.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
