//! Findings of the check on valid and invalid documents.

#![allow(clippy::unwrap_used)]

use chestnutrack_document::{Document, check, parse};
use expect_test::{Expect, expect};
use quickcheck::quickcheck;
use serde_json::{Value, json};

fn valid_document() -> Value {
    json!({
        "service": "larder-orders",
        "key_salt": "0123456789abcdef",
        "organisations": [{
            "name": "dairy-coop",
            "keys": [{"id": "dairy-1", "hash": "ab".repeat(32)}],
            "rate_tokens_per_s": 1000,
            "burst_tokens": 4000,
        }],
        "pools": [
            {"name": "llm", "kind": "model", "servers": [
                server("llm-0", "127.0.0.1:7000", "prefill"),
                server("llm-1", "127.0.0.1:7001", "decode"),
            ]},
            {"name": "app", "kind": "plain", "servers": [
                server("app-0", "127.0.0.1:7002", "plain"),
            ]},
        ],
        "routes": [
            {"name": "chat", "method": "POST", "path": "/v1/chat/completions", "api": "chat",
             "pool": "llm", "model": "llm", "deadline_ms": 5000},
            {"name": "deposit", "method": "POST", "path": "/deposits", "api": "plain",
             "pool": "app", "once": true, "deadline_ms": 5000},
        ],
    })
}

fn server(name: &str, side: &str, role: &str) -> Value {
    json!({
        "name": name, "side": side, "address": "127.0.0.1:9000", "host": "host-1",
        "failure_domain": "a", "role": role, "slots": 20, "kv_tokens": 400_000,
        "link_bytes_per_s": 10_000_000_000_u64,
    })
}

fn findings(document: &Value) -> String {
    match parse(document.to_string().as_bytes()) {
        Ok(_) => "accepted".to_owned(),
        Err(findings) => findings.to_string(),
    }
}

fn expect_findings(edit: impl FnOnce(&mut Value), expected: Expect) {
    let mut document = valid_document();
    edit(&mut document);
    expected.assert_eq(&findings(&document));
}

#[test]
fn a_valid_document_is_accepted() {
    expect_findings(|_| {}, expect!["accepted"]);
}

#[test]
fn all_findings_are_reported_together() {
    expect_findings(
        |document| {
            document["key_salt"] = json!("short");
            document["organisations"][0]["rate_tokens_per_s"] = json!(0);
            document["organisations"][0]["keys"][0]["hash"] = json!("xyz");
            document["routes"][0]["deadline_ms"] = json!(0);
            document["routes"][1]["pool"] = json!("nowhere");
        },
        expect![[r"
            key_salt: 5 is not between 16 and 128 characters
            organisations[0].rate_tokens_per_s: 0 is not between 1 and 1000000000000 tokens a second
            organisations[0].keys[0].hash: not 64 hexadecimal digits
            routes[0].deadline_ms: 0 is not between 1 and 86400000 ms
            routes[1].pool: no pool is named `nowhere`"]],
    );
}

#[test]
fn a_key_shared_by_two_organisations_is_refused() {
    expect_findings(
        |document| {
            let mut second = document["organisations"][0].clone();
            second["name"] = json!("honey-shop");
            second["keys"][0]["id"] = json!("honey-1");
            document["organisations"].as_array_mut().unwrap().push(second);
        },
        expect!["organisations[1].keys[0].hash: the same key stands twice in the document"],
    );
}

#[test]
fn contradicting_flags_are_refused() {
    expect_findings(
        |document| {
            document["routes"][1]["idempotent"] = json!(true);
            document["routes"][1]["open"] = json!(true);
            document["routes"][0]["method"] = json!("GET");
        },
        expect![[r"
            routes[0].method: a model route is called by POST
            routes[1].idempotent: a route that must land once can't be idempotent
            routes[1].open: a route that must land once can't be open to all"]],
    );
}

#[test]
fn roles_must_fit_the_pool() {
    expect_findings(
        |document| {
            document["pools"][0]["servers"][0]["role"] = json!("plain");
            document["pools"][1]["servers"][0]["side"] = json!("127.0.0.1:7001");
        },
        expect![[r"
            pools[0].servers[0].role: does not fit the pool's kind
            pools[0].servers: a model pool needs at least one prefill server
            pools[1].servers[0].side: another server has the same address"]],
    );
}

#[test]
fn an_unknown_field_is_named_with_its_line() {
    let text = "{\n  \"service\": \"x\",\n  \"colour\": 3\n}";
    let found = parse(text.as_bytes()).unwrap_err().to_string();
    assert!(found.starts_with("line 3 column 10: unknown field `colour`"), "{found}");
}

#[test]
fn a_negative_count_is_named_with_its_line() {
    let mut document = valid_document();
    document["organisations"][0]["burst_tokens"] = json!(-4);
    let found = findings(&document);
    assert!(found.contains("invalid value: integer `-4`"), "{found}");
}

#[test]
fn an_oversized_document_is_refused_before_it_is_parsed() {
    let text = " ".repeat(check::DOCUMENT_BYTES_MAX + 1);
    let found = parse(text.as_bytes()).unwrap_err().to_string();
    expect!["1048577 bytes; at most 1048576 are allowed"].assert_eq(&found);
}

quickcheck! {
    fn any_bytes_are_refused_without_panic(bytes: Vec<u8>) -> bool {
        parse(&bytes).is_err()
    }

    fn a_truncated_document_is_refused(length: usize) -> bool {
        let text = valid_document().to_string();
        let length = length % text.len();
        parse(&text.as_bytes()[..length]).is_err()
    }
}

#[test]
fn an_accepted_document_round_trips_through_json() {
    let document: Document = parse(valid_document().to_string().as_bytes()).unwrap();

    let text = serde_json::to_vec(&document).unwrap();

    assert_eq!(parse(&text).unwrap(), document);
}
