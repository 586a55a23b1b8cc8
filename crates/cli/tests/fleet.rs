//! Tests of the subcommands against a fleet of separate processes.

use chestnutrack_cli::output::{FINDING, OK, Output, UNREACHABLE};
use chestnutrack_harness::{Fleet, Settings, caller};
use serde_json::Value;
use std::time::Duration;

/// Longest time until the pages and the report show the effects of a request.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a subcommand with the admin ports of both entry hosts.
async fn run(arguments: &[&str], fleet: &Fleet) -> Output {
    let entries = [fleet.entry_admin(0).to_string(), fleet.entry_admin(1).to_string()];
    let mut args: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    args.extend(entries.into_iter().flat_map(|entry| ["--entry".to_owned(), entry]));
    chestnutrack_cli::cmd::run(&args).await
}

/// Runs a subcommand with `--json` and parses its output.
async fn json(arguments: &[&str], fleet: &Fleet) -> Value {
    let output = run(&[arguments, &["--json"]].concat(), fleet).await;
    assert_eq!(output.code, OK, "{arguments:?}: {}", output.err);
    serde_json::from_str(&output.out).expect("JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_page_of_a_running_fleet_is_parsed() {
    let mut fleet = Fleet::start(Settings::default()).await.expect("a fleet");
    let (key, model) = (fleet.key("dairy-coop"), fleet.document.pools[0].name.to_string());
    let call = caller::completion("/v1/completions", &model, &key, "a prompt", 4, false);

    let answer = fleet.call(0, &call).await.expect("an answer");

    assert_eq!(answer.status, 200, "{}", answer.text());
    let request = answer.header("x-chestnutrack-request").to_owned();

    let joined = async || {
        let status = run(&["status"], &fleet).await;
        let hosts = status.out.lines().skip(1);
        status.code == OK && hosts.filter(|line| line.contains("1/2")).count() == 2
    };
    fleet.wait_until(UPDATE_TIMEOUT, "both hosts are members", joined).await.expect("status");

    let servers = run(&["servers"], &fleet).await;
    assert_eq!(servers.out.lines().count(), 1 + fleet.servers().count(), "{}", servers.out);

    let explained = run(&["explain", &request], &fleet).await;
    assert_eq!(explained.code, OK, "{}", explained.err);
    assert!(explained.out.contains("for dairy-coop"), "{}", explained.out);

    let counted = async || {
        let lines = json(&["usage"], &fleet).await;
        lines.as_array().is_some_and(|lines| lines.iter().any(|line| line["answered"] == 1))
    };
    fleet.wait_until(UPDATE_TIMEOUT, "the answer is counted", counted).await.expect("usage");

    let reported = async || {
        let platform = fleet.platform().to_string();
        let arguments = ["report", "--service", "larder-orders", "--platform", &platform];
        let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
        let output = chestnutrack_cli::cmd::run(&arguments).await;
        output.code == OK && output.out.lines().any(|line| line.starts_with("dairy-coop"))
    };
    fleet
        .wait_until(UPDATE_TIMEOUT, "the answer is in the report", reported)
        .await
        .expect("report");

    check_compares_with_the_document_in_force(&fleet).await;

    fleet.process("entry-1").expect("an entry host").kill().await;
    let status = run(&["status"], &fleet).await;
    assert_eq!(status.code, UNREACHABLE);
    assert!(status.out.contains("larder-orders"), "{}", status.out);
}

/// Checks a valid document against the document in force, and an invalid document.
async fn check_compares_with_the_document_in_force(fleet: &Fleet) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("document.json").display().to_string();
    let platform = fleet.platform().to_string();
    let mut document = fleet.document.clone();
    document.organisations[0].rate_tokens_per_s += 1;
    let text = serde_json::to_string(&document).expect("JSON");
    std::fs::write(&file, text).expect("a written file");
    let arguments = ["check", "--current", "--platform", &platform, &file];
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();

    let checked = chestnutrack_cli::cmd::run(&arguments).await;

    assert_eq!(checked.code, OK, "{}", checked.err);
    assert!(
        checked.out.contains("organisations[cherry-capital].rate_tokens_per_s"),
        "{}",
        checked.out
    );

    document.routes[0].pool = "nowhere".into();
    let text = serde_json::to_string(&document).expect("JSON");
    std::fs::write(&file, text).expect("a written file");
    let checked = chestnutrack_cli::cmd::run(&arguments).await;
    assert_eq!(checked.code, FINDING);
}
