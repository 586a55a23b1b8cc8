//! Tests of `check` and `key`.

use crate::common::{SALT, document, file, run, serve};
use chestnutrack_cli::output::{FINDING, OK, UNREACHABLE, USAGE};
use chestnutrack_document::key::Hash;
use expect_test::expect;
use serde_json::json;

#[tokio::test]
async fn a_valid_document_has_no_findings() {
    let (_folder, path) = file(&document());

    let output = run(&["check", &path]).await;

    assert_eq!(output.code, OK, "{}", output.out);
    assert!(output.out.ends_with("no findings\n"));
}

#[tokio::test]
async fn every_finding_is_reported_with_its_place() {
    let mut invalid = document();
    invalid["routes"][0]["deadline_ms"] = json!(0);
    invalid["organisations"][0]["keys"][0]["hash"] = json!("a key");
    invalid["routes"][0]["pool"] = json!("nowhere");
    let (_folder, path) = file(&invalid);

    let output = run(&["check", &path]).await;

    let shown = output.out.replace(&path, "FILE") + &output.err;
    expect![[r#"
        FILE: organisations[0].keys[0].hash: not 64 hexadecimal digits
        FILE: routes[0].deadline_ms: 0 is not between 1 and 86400000 ms
        FILE: routes[0].pool: no pool is named `nowhere`
        error: 3 findings; the document would not be accepted
    "#]]
    .assert_eq(&shown);
    assert_eq!(output.code, FINDING);
}

#[tokio::test]
async fn findings_are_json_with_the_json_flag() {
    let mut invalid = document();
    invalid["service"] = json!("no spaces here");
    let (_folder, path) = file(&invalid);

    let output = run(&["check", "--json", &path]).await;

    expect![[r#"
        {
          "file": "FILE",
          "findings": [
            {
              "place": "service",
              "message": "must be 1 to 64 letters, digits, '-', '_' or '.'"
            }
          ]
        }
    "#]]
    .assert_eq(&output.out.replace(&path, "FILE"));
    assert_eq!(output.code, FINDING);
}

#[tokio::test]
async fn a_missing_file_is_a_usage_error() {
    let output = run(&["check", "no-such-file.json"]).await;

    assert_eq!(output.code, USAGE);
    assert!(output.err.starts_with("error: no-such-file.json: "), "{}", output.err);
}

#[tokio::test]
async fn the_document_in_force_is_compared_by_name() {
    let mut accepted = document();
    accepted["organisations"][0]["rate_tokens_per_s"] = json!(4_000);
    let value = json!({ "source": 41, "document": accepted });
    let object = json!({ "name": "larder-orders", "version": 42, "value": value, "age_ms": 5 });
    let platform = serve(vec![("/v1/objects/accepted/larder-orders", object)]).await;
    let (_folder, path) = file(&document());

    let output = run(&["check", "--current", "--platform", &platform.to_string(), &path]).await;

    expect![[r#"
        FILE: no findings
        1 change from version 41 in force
        organisations[honey-shop].rate_tokens_per_s: 4000 -> 8000
    "#]]
    .assert_eq(&output.out.replace(&path, "FILE"));
    assert_eq!(output.code, OK);
}

#[tokio::test]
async fn an_unreachable_object_interface_is_an_error() {
    let (_folder, path) = file(&document());

    let output = run(&["check", "--current", "--platform", "127.0.0.1:9", &path]).await;

    assert_eq!(output.code, UNREACHABLE);
    assert!(output.err.starts_with("error: object interface 127.0.0.1:9: "), "{}", output.err);
}

#[tokio::test]
async fn a_fresh_key_comes_with_its_hash() {
    let output = run(&["key", "new", "--json", "--salt", SALT]).await;

    let output_json: serde_json::Value = serde_json::from_str(&output.out).expect("JSON");
    let key = output_json["key"].as_str().expect("a key");
    assert_eq!(output_json["hash"], Hash::of(SALT, key).to_hex());
    assert_eq!(key.len(), "ctk_".len() + 64);
}

#[tokio::test]
async fn a_key_needs_a_salt() {
    let output = run(&["key", "new"]).await;

    assert_eq!(output.code, USAGE);
    assert!(output.err.contains("--salt"), "{}", output.err);
}
