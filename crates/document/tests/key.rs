//! Keys' hashes.

#![allow(clippy::unwrap_used)]

use chestnutrack_document::key::Hash;
use quickcheck::quickcheck;

quickcheck! {
    fn a_hash_survives_writing_and_reading(salt: String, key: String) -> bool {
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
fn hashes_are_not_hexadecimal_text_of_another_length() {
    assert_eq!(Hash::from_hex(""), None);
    assert_eq!(Hash::from_hex(&"ab".repeat(31)), None);
    assert_eq!(Hash::from_hex(&"zz".repeat(32)), None);
}
