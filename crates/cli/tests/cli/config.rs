//! Tests of `check-config`.

use crate::common::{file, run, serve};
use chestnutrack_cli::output::{FINDING, OK, UNREACHABLE, USAGE};
use expect_test::expect;
use serde_json::{Value, json};

/// Returns a configuration of the platform without findings.
fn configuration() -> Value {
    json!({
        "version": 7,
        "routes": [
            {
                "name": "digest", "host": "shop.example", "pathPrefix": "/digest/", "kind": "streaming",
                "timeoutMs": 14_000, "targetLatencyMs": 900, "targetGapMs": 300, "service": "llm",
                "maxAttempts": 2, "resumable": true, "sticky": true,
            },
            {
                "name": "deposit", "host": "shop.example", "pathPrefix": "/deposit/",
                "kind": "non_idempotent", "timeoutMs": 1_500, "targetLatencyMs": 300, "service": "app",
            },
        ],
        "services": [
            { "name": "llm", "engine": { "slots": 12, "kvCacheTokens": 50_000 } },
            { "name": "app", "maxConnections": 100 },
        ],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{
            "name": "orchard", "apiKeys": ["secret-1"], "plainTokens": 200, "ratePerS": 1_000, "burst": 1_000,
        }],
    })
}

/// Returns a configuration with an error of each kind that the check knows.
fn inconsistent() -> Value {
    let mut value = configuration();
    let routes = value["routes"].as_array_mut().expect("a list");
    routes[0]["targetLatencyMs"] = json!(20_000);
    routes[1]["targetGapMs"] = json!(2_000);
    routes[1]["maxAttempts"] = json!(0);
    let mut shadowed = routes[1].clone();
    shadowed["name"] = json!("deposit-2");
    shadowed["host"] = json!("SHOP.example");
    shadowed["service"] = json!("nowhere");
    routes.push(shadowed);
    routes.push(json!({
        "name": "status", "host": "shop.example:80", "pathPrefix": "status", "kind": "idempotent",
        "timeoutMs": 0, "split": [{ "service": "llm", "weight": 0 }, { "service": "app", "weight": 0 }],
    }));
    value["services"]
        .as_array_mut()
        .expect("a list")
        .push(json!({ "name": "spare", "maxConnections": 0 }));
    value["services"][0]["engine"]["slots"] = json!(0);
    value["limits"]["headerTimeoutMs"] = json!(20_000);
    let organisations = value["tenants"].as_array_mut().expect("a list");
    organisations[0]["plainTokens"] = json!(2_001);
    organisations.push(json!({ "name": "dairy", "apiKeys": ["secret-1", ""], "burst": 5 }));
    organisations.push(json!({ "name": "dairy" }));
    value
}

#[tokio::test]
async fn a_consistent_configuration_has_no_findings() {
    let (_folder, path) = file(&configuration());

    let output = run(&["check-config", &path]).await;

    assert_eq!((output.code, &*output.out.replace(&path, "FILE")), (OK, "FILE: no findings\n"));
}

#[tokio::test]
async fn every_finding_is_reported_with_its_place_and_no_key_is_shown() {
    let (_folder, path) = file(&inconsistent());

    let output = run(&["check-config", &path]).await;

    let shown = output.out.replace(&path, "FILE") + &output.err;
    expect![[r#"
        FILE: organisations[dairy]: another entry has the same name
        FILE: routes[digest].target_ms: 20000 ms is longer than the timeout of 14000 ms
        FILE: routes[deposit].pause_ms: 2000 ms is longer than the timeout of 1500 ms
        FILE: routes[deposit].pause_ms: only a route for streams has pauses
        FILE: routes[deposit].attempts: 0: no request can be sent
        FILE: routes[deposit-2].pause_ms: 2000 ms is longer than the timeout of 1500 ms
        FILE: routes[deposit-2].pause_ms: only a route for streams has pauses
        FILE: routes[deposit-2].attempts: 0: no request can be sent
        FILE: routes[deposit-2].split: no service is named `nowhere`
        FILE: routes[status].host: `shop.example:80` matches no request: a host name without a port is needed
        FILE: routes[status].prefix: `status` does not begin and end with a slash
        FILE: routes[status].timeout_ms: 0: no request can be answered in time
        FILE: routes[status].split: leads to no service: there is none with a weight
        FILE: routes[status].split: `llm` has the weight 0 and gets no request
        FILE: routes[status].split: `llm` only streams, which does not fit the kind of the route
        FILE: routes[status].split: `app` has the weight 0 and gets no request
        FILE: routes[deposit-2].prefix: never matches: `deposit` has the same host and prefix
        FILE: services[llm].engine.slots: 0: no request can run
        FILE: services[spare]: no route leads to it
        FILE: services[spare].connections: 0: no request can be sent
        FILE: organisations[orchard].plain_tokens: 2001 is more than the rate and the burst allow in 1 s (2000)
        FILE: organisations[dairy].keys[0]: is held by `orchard` too; the last holder is used
        FILE: organisations[dairy].keys[1]: is empty and matches no request
        FILE: organisations[dairy].burst: has no effect without a rate
        FILE: organisations[dairy].keys: there is no key, so no request can be of this organisation
        FILE: limits.head_within_ms: 20000 ms is longer than the idle timeout of 15000 ms
        error: 26 findings
    "#]].assert_eq(&shown);
    assert_eq!(output.code, FINDING);
    assert!(!shown.contains("secret"), "{shown}");
}

#[tokio::test]
async fn findings_and_differences_are_json_with_the_json_flag() {
    let mut next = configuration();
    next["routes"][1]["timeoutMs"] = json!(200);
    next["tenants"][0]["apiKeys"] = json!(["secret-2"]);
    let ((_folder, path), (_other, in_force)) = (file(&next), file(&configuration()));

    let output = run(&["check-config", "--json", "--in-force", &in_force, &path]).await;

    expect![[r#"
        {
          "file": "FILE",
          "findings": [
            {
              "place": "routes[deposit].target_ms",
              "message": "300 ms is longer than the timeout of 200 ms"
            },
            {
              "place": "version",
              "message": "7 is not above 7, the version in force"
            }
          ],
          "changes": [
            {
              "place": "routes[deposit].timeoutMs",
              "before": 1500,
              "after": 200
            },
            {
              "place": "tenants[orchard].apiKeys[0]",
              "before": "(hidden)",
              "after": "(hidden)"
            }
          ]
        }
    "#]]
    .assert_eq(&output.out.replace(&path, "FILE"));
    assert_eq!(output.code, FINDING);
}

#[tokio::test]
async fn the_configuration_in_force_is_read_from_the_store() {
    let mut next = configuration();
    next["version"] = json!(8);
    let metadata = json!({ "name": "main", "revision": 12 });
    let object = json!({ "metadata": metadata, "spec": configuration() });
    let platform = serve(vec![("/v1/objects/config/main", object)]).await;
    let (_folder, path) = file(&next);

    let output = run(&["check-config", "--platform", &platform.to_string(), &path]).await;

    expect![[r#"
        FILE: no findings
        1 change from the version in force
        version: 7 -> 8
    "#]]
    .assert_eq(&output.out.replace(&path, "FILE"));
    assert_eq!(output.code, OK);
}

#[tokio::test]
async fn what_can_not_be_read_is_a_finding_or_an_error() {
    let (_folder, path) = file(&json!({ "version": "seven" }));
    let (_other, valid) = file(&configuration());

    let unreadable = run(&["check-config", &path]).await;
    let missing = run(&["check-config", "no-such-file.json"]).await;
    let no_store = run(&["check-config", "--platform", "127.0.0.1:9", &valid]).await;

    assert_eq!((unreadable.code, missing.code, no_store.code), (FINDING, USAGE, UNREACHABLE));
    assert!(unreadable.out.contains("seven"), "{}", unreadable.out);
}
