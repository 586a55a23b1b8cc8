//! Golden tests of whole sessions: the requests, the responses and the stand-in's log.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::{engine, platform};
use expect_test::{Expect, expect};
use std::net::SocketAddr;
use std::time::Duration;

/// Makes calls one after the other and compares all requests and responses. `SELF` stands for the
/// stand-in's address.
async fn check_session(address: SocketAddr, calls: &[(&str, &str, &str)], expected: Expect) {
    let mut text = String::new();
    for (method, target, body) in calls {
        let body = body.replace("SELF", &address.to_string());
        let (status, answer) = support::call(address, method, target, &body).await;
        text += &format!("> {method} {target}\n");
        text += &prefix_lines("> ", &body.replace(&address.to_string(), "SELF"));
        text += &format!("< {status}\n{}\n", prefix_lines("< ", &mask_times(&answer)));
    }
    expected.assert_eq(&text);
}

/// Returns the lines of a text, each after `prefix`.
fn prefix_lines(prefix: &str, text: &str) -> String {
    text.lines().map(|line| format!("{prefix}{line}\n")).collect()
}

/// Replaces the durations, which differ from run to run, by 0.
fn mask_times(text: &str) -> String {
    mask_number(&mask_number(text, "\"age_ms\":"), "\"late_us\":")
}

/// Replaces the number after each `label` by 0.
fn mask_number(text: &str, label: &str) -> String {
    let mut parts = text.split(label);
    let first = parts.next().unwrap_or_default().to_owned();
    let masked_parts =
        parts.map(|part| part.trim_start_matches(|digit: char| digit.is_ascii_digit()));
    masked_parts.fold(first, |text, part| text + label + "0" + part)
}

#[tokio::test]
async fn one_request_through_an_engine() {
    let settings = engine::Settings {
        step_base: Duration::from_millis(1),
        evict_after: Duration::from_secs(60),
        ..engine::Settings::default()
    };
    let address = support::engine(settings).await;
    let calls = [
        (
            "POST",
            "/v1/prefill",
            r#"{"id":"7f.1","fence":3,"prompt":"Which pies are left today?","priority":1}"#,
        ),
        (
            "POST",
            "/v1/import",
            r#"{"id":"7f.1","fence":3,"from":"SELF","handle":"7f.1","kv_tokens":12}"#,
        ),
        ("GET", "/v1/holds", ""),
        ("POST", "/v1/decode", r#"{"id":"7f.1","fence":3,"output_tokens":4,"priority":1}"#),
        ("POST", "/v1/resume", r#"{"id":"7f.1","fence":3,"offset":2}"#),
        ("POST", "/v1/cancel", r#"{"id":"7f.1","fence":2}"#),
        ("POST", "/v1/cancel", r#"{"id":"7f.1","fence":3}"#),
        ("GET", "/v1/holds", ""),
        ("GET", "/control/counts", ""),
        ("GET", "/control/seen", ""),
    ];
    check_session(address, &calls, expect![[r#"
        > POST /v1/prefill
        > {"id":"7f.1","fence":3,"prompt":"Which pies are left today?","priority":1}
        < 200
        < {"tokens":7,"bytes":458752,"cached_tokens":0,"evicted_in_ms":60000}

        > POST /v1/import
        > {"id":"7f.1","fence":3,"from":"SELF","handle":"7f.1","kv_tokens":12}
        < 200
        < {"tokens":7}

        > GET /v1/holds
        < 200
        < {"holds":[{"id":"7f.1","kv_tokens":12,"running":false}]}

        > POST /v1/decode
        > {"id":"7f.1","fence":3,"output_tokens":4,"priority":1}
        < 200
        < {"token":{"offset":0,"text":" w267"}}
        < {"token":{"offset":1,"text":" w254"}}
        < {"token":{"offset":2,"text":" w977"}}
        < {"token":{"offset":3,"text":" w182"}}
        < {"end":{"total":4,"finish":"length"}}

        > POST /v1/resume
        > {"id":"7f.1","fence":3,"offset":2}
        < 200
        < {"token":{"offset":2,"text":" w977"}}
        < {"token":{"offset":3,"text":" w182"}}
        < {"end":{"total":4,"finish":"length"}}

        > POST /v1/cancel
        > {"id":"7f.1","fence":2}
        < 412
        < {"error":{"message":"older than one seen","place":"fence"}}

        > POST /v1/cancel
        > {"id":"7f.1","fence":3}
        < 200
        < {}

        > GET /v1/holds
        < 200
        < {"holds":[]}

        > GET /control/counts
        < 200
        < {"prefills":1,"prefilled_tokens":7,"cached_tokens":0,"wasted_prefill_tokens":0,"exports":1,"exported_tokens":7,"imports":1,"imported_tokens":7,"undecoded_tokens":0,"generated_tokens":4,"steps":4,"late_us":0,"answers":1,"cancelled":0,"batch_max":1,"fenced":1}

        > GET /control/seen
        < 200
        < {"fence":3,"model":null,"orders":{"seen":[{"call":"prefill","fence":3,"id":"7f.1","status":200},{"call":"import","fence":3,"id":"7f.1","status":200},{"call":"decode","fence":3,"id":"7f.1","status":200},{"call":"resume","fence":3,"id":"7f.1","status":200},{"call":"cancel","fence":2,"id":"7f.1","status":412},{"call":"cancel","fence":3,"id":"7f.1","status":200}],"total":6},"role":null}

    "#]]).await;
}

#[tokio::test]
async fn a_claim_and_a_watch_of_it() {
    let address = support::platform(platform::Settings::default()).await;
    let calls = [
        ("PUT", "/v1/objects/claims/c1", r#"{"writer":"a","state":"open"}"#),
        ("GET", "/v1/objects/claims/c1", ""),
        ("GET", "/v1/objects/claims", ""),
        ("GET", "/v1/watch/claims?after=0&wait_ms=0", ""),
        ("GET", "/v1/watch/claims?after=1&wait_ms=0", ""),
        ("DELETE", "/v1/objects/claims/c1", ""),
        ("GET", "/v1/watch/claims?after=1&wait_ms=0", ""),
        ("GET", "/v1/objects/claims/c1", ""),
        ("GET", "/v1/hosts", ""),
        ("GET", "/control/counts", ""),
    ];
    check_session(address, &calls, expect![[r#"
        > PUT /v1/objects/claims/c1
        > {"writer":"a","state":"open"}
        < 200
        < {"version":1}

        > GET /v1/objects/claims/c1
        < 200
        < {"name":"c1","version":1,"value":{"state":"open","writer":"a"},"age_ms":0}

        > GET /v1/objects/claims
        < 200
        < {"version":1,"objects":[{"name":"c1","version":1,"value":{"state":"open","writer":"a"},"age_ms":0}]}

        > GET /v1/watch/claims?after=0&wait_ms=0
        < 200
        < {"version":1,"objects":[{"name":"c1","version":1,"value":{"state":"open","writer":"a"},"age_ms":0}]}

        > GET /v1/watch/claims?after=1&wait_ms=0
        < 200
        < {"version":1,"objects":[]}

        > DELETE /v1/objects/claims/c1
        < 200
        < {"version":2}

        > GET /v1/watch/claims?after=1&wait_ms=0
        < 200
        < {"version":2,"objects":[{"name":"c1","version":2,"value":null,"age_ms":0}]}

        > GET /v1/objects/claims/c1
        < 404
        < {"error":{"message":"no such object","place":"c1"}}

        > GET /v1/hosts
        < 200
        < {"hosts":[]}

        > GET /control/counts
        < 200
        < {"read":2,"list":1,"write":1,"delete":1,"watch":3,"hosts":1,"conflict":0,"lost":0,"refused":0}

    "#]]).await;
}
