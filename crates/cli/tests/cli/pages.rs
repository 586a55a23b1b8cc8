//! Tests of the subcommands that read entry hosts' pages, and of settings and help.

use crate::common::{run, serve, snapshot};
use chestnutrack_cli::output::{FINDING, Output, UNREACHABLE, USAGE};
use expect_test::expect;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Identifier of the request that the first entry host has on record.
const REQUEST: &str = "000102030405060708090a0b0c0d0e0f";

/// Returns a backend server as the servers page shows it.
fn server(name: &str, role: &str, state: &str, used: u32) -> Value {
    json!({
        "name": name, "pool": "larder-llm", "role": role, "failure_domain": "great-lakes-a",
        "state": state, "slots": 20, "used": used, "waiting": 0, "held": used / 2,
        "queued_tokens": 0,
    })
}

/// Returns an organisation's counts as the usage page shows them.
fn usage(organisation: &str, requests: u64) -> Value {
    json!({
        "organisation": organisation, "route": "chat", "requests": requests,
        "answered": requests - 1, "refused": { "over_rate": 1 }, "tokens": requests * 100,
        "within_targets": requests - 2,
    })
}

/// Serves the pages of an entry host.
async fn first_entry() -> SocketAddr {
    let steps = json!([
        { "at_us": 0, "what": "arrived" },
        { "at_us": 480, "what": "placed", "server": "llm-1" },
        { "at_us": 2_050, "what": "refused", "server": "llm-1", "why": "full" },
    ]);
    serve(vec![
        (
            "/v1/configuration",
            json!({
                "version": 42, "trusted": true, "service": "larder-orders", "leaving_hosts": [],
            }),
        ),
        (
            "/v1/members",
            json!({
                "name": "entry-0", "incarnation": 1, "version": 3, "listed": true,
                "current": true, "share": "1/2", "platform_up": true,
                "peers": [{ "name": "entry-1" }],
            }),
        ),
        (
            "/v1/servers",
            json!({ "servers": [
            server("llm-0", "prefill", "live", 3), server("llm-1", "decode", "full", 20),
        ] }),
        ),
        ("/v1/usage", json!({ "usage": [usage("dairy-coop", 10), usage("honey-shop", 5)] })),
        (
            "/v1/explain?id=000102030405060708090a0b0c0d0e0f",
            json!({
                "request": REQUEST, "route": "chat", "organisation": "dairy-coop", "steps": steps,
            }),
        ),
    ])
    .await
}

/// Serves the pages of an entry host that has an older configuration, no members page and no record
/// of the request.
async fn second_entry() -> SocketAddr {
    serve(vec![
        (
            "/v1/configuration",
            json!({
                "version": 41, "trusted": false, "service": "larder-orders", "leaving_hosts": [],
            }),
        ),
        (
            "/v1/servers",
            json!({ "servers": [
            server("llm-0", "prefill", "live", 5), server("llm-1", "decode", "leaving", 18),
        ] }),
        ),
        ("/v1/usage", json!({ "usage": [usage("dairy-coop", 20)] })),
        (
            "/v1/explain?id=000102030405060708090a0b0c0d0e0f",
            json!({
                "error": { "place": "id", "message": "not among the recent requests" },
            }),
        ),
    ])
    .await
}

/// Runs a subcommand with both entry hosts. Returns the output and its snapshot.
async fn run_with_both_entries(arguments: &[&str]) -> (Output, String) {
    let entries = [first_entry().await, second_entry().await];
    let texts = entries.map(|entry| entry.to_string());
    let mut args = arguments.to_vec();
    texts.iter().for_each(|text| args.extend(["--entry", text]));
    let output = run(&args).await;
    let text = snapshot(&output, &[(entries[0], "ENTRY-0"), (entries[1], "ENTRY-1")]);
    (output, text)
}

#[tokio::test]
async fn status_shows_the_configuration_of_each_host() {
    let (_, text) = run_with_both_entries(&["status"]).await;

    expect![[r#"
        exit code 0
        ENTRY            NAME     SERVICE        VERSION  TRUSTED  CURRENT  MEMBERS  SHARE  PLATFORM
        ENTRY-0  entry-0  larder-orders       42  yes      yes            2  1/2    up
        ENTRY-1  -        larder-orders       41  no       -              -  -      -
    "#]]
    .assert_eq(&text);
}

#[tokio::test]
async fn servers_show_states_that_differ_between_hosts() {
    let (_, text) = run_with_both_entries(&["servers"]).await;

    expect![[r#"
        exit code 0
        SERVER  POOL        ROLE     FAILURE DOMAIN  STATE             SLOTS  USED  WAITING  HELD
        llm-0   larder-llm  prefill  great-lakes-a   live                 20     5        0     3
        llm-1   larder-llm  decode   great-lakes-a   full:1,leaving:1     20    20        0    19
    "#]]
    .assert_eq(&text);
}

#[tokio::test]
async fn usage_is_summed_over_hosts() {
    let (_, text) = run_with_both_entries(&["usage"]).await;

    expect![[r#"
        exit code 0
        ORGANISATION  ROUTE  REQUESTS  ANSWERED  IN TARGETS  TOKENS  REFUSED
        dairy-coop    chat         30        28          26    3000  over_rate:2
        honey-shop    chat          5         4           3     500  over_rate:1
    "#]]
    .assert_eq(&text);
}

#[tokio::test]
async fn usage_is_json_with_the_json_flag() {
    let (output, _) = run_with_both_entries(&["usage", "--json"]).await;

    let lines: Value = serde_json::from_str(&output.out).expect("JSON");
    assert_eq!(lines[0]["requests"], 30);
    assert_eq!(lines[0]["refused"]["over_rate"], 2);
}

#[tokio::test]
async fn a_request_is_explained_by_the_host_that_has_it() {
    let (_, text) = run_with_both_entries(&["explain", REQUEST]).await;

    expect![[r#"
        exit code 0
        request 000102030405060708090a0b0c0d0e0f on ENTRY-0 route chat for dairy-coop
           MS  WHAT     SERVER  WHY
        0.000  arrived  -       -
        0.480  placed   llm-1   -
        2.050  refused  llm-1   full
    "#]]
    .assert_eq(&text);
}

#[tokio::test]
async fn an_unknown_request_is_a_finding() {
    let (output, text) =
        run_with_both_entries(&["explain", "ffffffffffffffffffffffffffffffff"]).await;

    assert!(text.contains("is not among the recent ones"), "{text}");
    assert!([FINDING, UNREACHABLE].contains(&output.code), "{text}");
}

#[tokio::test]
async fn a_malformed_identifier_is_a_usage_error() {
    let output = run(&["explain", "17", "--entry", "127.0.0.1:9"]).await;

    assert_eq!(output.code, USAGE);
}

#[tokio::test]
async fn reachable_hosts_are_shown_if_another_is_unreachable() {
    let entry = first_entry().await.to_string();

    let output = run(&["status", "--entry", &entry, "--entry", "127.0.0.1:9"]).await;

    assert_eq!(output.code, UNREACHABLE);
    assert!(output.out.contains("larder-orders"), "{}", output.out);
    assert!(output.err.starts_with("error: entry host 127.0.0.1:9: "), "{}", output.err);
}

#[tokio::test]
async fn invalid_and_missing_settings_name_their_flag() {
    let missing = run(&["servers"]).await;
    let invalid = run(&["report", "--platform", "nowhere"]).await;

    expect![[r#"
        error: --entry or CHESTNUTRACK_ENTRY: is missing: the address of an entry host's admin port, such as 10.0.0.7:9102; several are separated by commas
        error: --platform: `nowhere` is not the address of the object interface, such as 10.0.0.2:8080
        --service or CHESTNUTRACK_SERVICE: is missing: the name of a service
    "#]].assert_eq(&format!("{}{}", missing.err, invalid.err));
    assert_eq!((missing.code, invalid.code), (USAGE, USAGE));
}

#[tokio::test]
async fn help_lists_every_subcommand() {
    let output = run(&["--help"]).await;

    assert_eq!(output.code, 0);
    for name in chestnutrack_cli::cmd::NAMES {
        assert!(output.out.contains(&format!("\n  {name} ")), "{name}: {}", output.out);
    }
}
