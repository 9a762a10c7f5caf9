//! Output text that depends on the prompt alone, so that a caller can check that an answer
//! belongs to its own request.

/// Mixes the bits of a number (the finaliser of `SplitMix64`).
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes bytes. The result is the same on all hosts and in all versions of the program.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0x5eed, |hash, byte| mix(hash ^ u64::from(*byte)))
}

/// Returns the id of the token at an index of the output for a prompt with a given hash.
pub(super) fn token_id(prompt_hash: u64, index: u64) -> u32 {
    u32::try_from(mix(prompt_hash ^ mix(index)) >> 32).unwrap_or_default()
}

/// Returns the text of a token.
pub(super) fn token_text(id: u32) -> String {
    format!("{id:08x} ")
}

/// Returns the ids of the first `tokens` tokens of the output for a prompt.
#[must_use]
pub fn expected_token_ids(prompt: &str, tokens: u64) -> Vec<u32> {
    let hash = hash(prompt.as_bytes());
    (0..tokens).map(|index| token_id(hash, index)).collect()
}

/// Returns the text of the first `tokens` tokens of the output for a prompt.
#[must_use]
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    expected_token_ids(prompt, tokens).into_iter().map(token_text).collect()
}
