//! Hashes of callers' keys.

#![allow(clippy::unwrap_used)]

use chestnutrack_document::key::Hash;
use quickcheck::quickcheck;

quickcheck! {
    fn a_hash_round_trips_through_hexadecimal_text(salt: String, key: String) -> bool {
        let hash = Hash::of(&salt, &key);
        Hash::from_hex(&hash.to_hex()) == Some(hash)
    }

    fn different_keys_have_different_hashes(salt: String, one: String, other: String) -> bool {
        (one == other) == Hash::of(&salt, &one).matches(&Hash::of(&salt, &other))
    }

    fn the_salt_changes_the_hash(key: String) -> bool {
        !Hash::of("one salt", &key).matches(&Hash::of("another salt", &key))
    }
}

#[test]
fn text_of_another_length_or_alphabet_is_no_hash() {
    assert_eq!(Hash::from_hex(""), None);
    assert_eq!(Hash::from_hex(&"ab".repeat(31)), None);
    assert_eq!(Hash::from_hex(&"zz".repeat(32)), None);
}
