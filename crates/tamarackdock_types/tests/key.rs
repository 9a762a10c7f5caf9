//! Hashes of keys, as configurations name them.

use tamarackdock_types::key::Hash;

/// Guards against a mistyped hash that passes as one, and against keys that would never match it.
#[test]
fn only_hexadecimal_digits_are_a_hash() {
    let hash = Hash::of(b"key");
    assert_eq!(Hash::parse(&hash.to_string()), Ok(hash));
    assert_eq!(Hash::parse(&hash.to_string().to_uppercase()), Ok(hash));
    for text in ["+f".repeat(32), " f".repeat(32), "-1".repeat(32), "é".repeat(32)] {
        assert!(Hash::parse(&text).is_err(), "{text}");
    }
}
