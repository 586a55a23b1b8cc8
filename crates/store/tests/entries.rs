//! Objects of other writers that can't be read, beside others.

use chestnutrack_process::http;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::dialect::OWN;
use chestnutrack_store::object::{List, Object};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::TcpListener;

fn object(name: &str, version: u64, value: Value) -> Object {
    Object { name: name.into(), version, value: Some(value), age_ms: 0 }
}

/// Returns the text of a list with the objects `a`, `b` and `c`, in which `b` has the given text as its value.
fn list_with_value_of_b(value: &str) -> String {
    let b = format!(r#"{{"name":"b","version":4,"value":{value},"age_ms":0}}"#);
    let (a, c) = (json!(object("a", 3, json!(1))), json!(object("c", 5, json!(2))));
    format!(r#"{{"version":9,"objects":[{a},{b},{c}]}}"#)
}

/// Returns values that can't be read: half of a surrogate pair, a number out of range, and lists nested deeper than the
/// parser allows, or than the stack is deep.
fn unreadable_values() -> Vec<String> {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    vec![r#"{"zone":"\udcff"}"#.to_owned(), "1e999".to_owned(), nested(300), nested(400_000)]
}

/// Guards against an object of another writer that hides all other objects, since the whole answer can't be parsed.
#[test]
fn a_value_that_can_not_be_read_hides_no_other_object_in_the_own_dialect() {
    for value in unreadable_values() {
        let text = list_with_value_of_b(&value);

        let listed = (OWN.page)(text.as_bytes()).map(|page| page.list);
        let changed = (OWN.changes)(text.as_bytes());

        let objects =
            vec![object("a", 3, json!(1)), object("b", 4, Value::Null), object("c", 5, json!(2))];
        let expected = Ok(List { version: 9, objects });
        let start: String = value.chars().take(20).collect();
        assert_eq!(listed, expected, "{start}");
        assert_eq!(changed, expected, "{start}");
    }
}

/// Guards against a host that never replaces its own entry, since it can't read what another writer left there.
#[test]
fn a_read_of_an_object_whose_value_can_not_be_read_returns_its_version() {
    for value in unreadable_values() {
        let text = format!(r#"{{"name":"b","version":4,"value":{value},"age_ms":0}}"#);

        let read = (OWN.object)(text.as_bytes());

        assert_eq!(read, Ok(object("b", 4, Value::Null)));
    }
}

/// Guards against a deleted object that counts as one whose value can't be read.
#[test]
fn an_object_whose_value_is_null_or_absent_is_deleted() {
    let text = r#"{"version":9,"objects":[
        {"name":"a","version":3,"value":null,"age_ms":0},
        {"name":"b","version":4,"age_ms":0}]}"#;

    let changed = (OWN.changes)(text.as_bytes()).map(|list| list.objects);

    let deleted = |name, version| Object { value: None, ..object(name, version, Value::Null) };
    assert_eq!(changed, Ok(vec![deleted("a", 3), deleted("b", 4)]));
}

/// Starts an interface that gives the same answer to every call, and returns a client of it.
async fn client_of_answer(body: String) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(http::serve(listener, move |_: hyper::Request<hyper::body::Incoming>| {
        let body = body.clone();
        async move { hyper::Response::new(http::full(body)) }
    }));
    Client::new(address, Settings::default(), None)
}

/// Guards against an object whose version does not fit beside an epoch, and that hides all other objects.
#[tokio::test]
async fn an_object_with_a_version_out_of_range_hides_no_other_in_lists_and_watches() {
    for version in [1 << 40, u64::MAX] {
        let objects = [("a", 3), ("b", version), ("c", 5)];
        let objects = objects.map(|(name, version)| object(name, version, json!(1)));
        let answer = json!(List { version: 9, objects: objects.to_vec() }).to_string();
        let client = client_of_answer(answer).await;

        let listed = client.list("servers").await;
        let changed = client.watch("servers", 1, Duration::ZERO).await;

        let expected =
            Ok(List { version: 9, objects: vec![objects[0].clone(), objects[2].clone()] });
        assert_eq!((listed, changed), (expected.clone(), expected), "{version}");
    }
}
