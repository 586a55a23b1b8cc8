//! Validation and planning of experiments.

use crate::fixture::{burst, chat, deposits, document, experiment};
use chestnutrack_document::model::Api;
use chestnutrack_harness::deployment::AddressBlock;
use chestnutrack_load::experiment::{PlannedRequest, parse, schedule};
use expect_test::expect;
use serde_json::json;
use std::path::Path;

fn shown(planned: &[PlannedRequest]) -> Vec<String> {
    planned.iter().map(|request| format!("{request:?}")).collect()
}

#[test]
fn a_seed_gives_the_same_schedule_each_time() {
    let experiment = experiment(vec![chat("dairy-coop", 5.0), deposits("honey-shop")]);

    let (first, second) = (schedule(&experiment, &document()), schedule(&experiment, &document()));

    assert!(first.len() > 50, "{}", first.len());
    assert_eq!(shown(&first), shown(&second));
}

#[test]
fn a_stream_is_not_changed_by_another() {
    let alone = experiment(vec![chat("dairy-coop", 5.0)]);
    let beside = experiment(vec![chat("dairy-coop", 5.0), deposits("honey-shop")]);

    let alone = schedule(&alone, &document());
    let beside = schedule(&beside, &document());

    let beside = beside.into_iter().filter(|request| request.route.as_ref() == "chat");
    assert_eq!(shown(&alone), shown(&beside.collect::<Vec<_>>()));
}

#[test]
fn another_seed_gives_another_schedule() {
    let one = experiment(vec![chat("dairy-coop", 5.0)]);
    let mut other = one.clone();
    other.seed += 1;

    assert_ne!(shown(&schedule(&one, &document())), shown(&schedule(&other, &document())));
}

#[test]
fn a_burst_raises_the_rate_while_it_lasts() {
    let mut stream = chat("dairy-coop", 5.0);
    stream.rushes.push(burst());

    let planned = schedule(&experiment(vec![stream]), &document());

    let inside = planned.iter().filter(|r| (5.0..10.0).contains(&r.at.as_secs_f64())).count();
    let outside = planned.len() - inside;
    // 250 are expected inside, 75 outside.
    assert!((200..300).contains(&inside), "{inside}");
    assert!((45..105).contains(&outside), "{outside}");
}

#[test]
fn requests_over_the_rate_are_marked() {
    // 5 times 8,000 tokens a second: burst and rate admit 32,000 + 20 s * 8,000 tokens.
    let planned = schedule(&experiment(vec![chat("bay-bakery", 125.0)]), &document());

    let tokens = planned.iter().filter(|request| request.in_rate).map(|request| request.tokens);
    let (admitted, allowed) = (tokens.sum::<u64>(), 32_000 + 20 * 8_000);

    assert!(admitted <= allowed, "{admitted}");
    assert!(admitted > allowed * 95 / 100, "{admitted}");
}

#[test]
fn prompts_have_the_length_that_was_planned() {
    let planned = schedule(&experiment(vec![chat("dairy-coop", 5.0)]), &document());

    for request in &planned {
        let completion = request.completion.expect("a model request");
        let text = request.prompt(Api::Completions);
        assert_eq!(text.len(), 4 * completion.prompt_tokens as usize);
        assert!(text.contains(request.id.as_ref()));
    }
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let mut wrong = experiment(vec![chat("nobody", 0.0), deposits("honey-shop")]);
    wrong.warm_up_s = 30.0;
    wrong.streams[1].route = "nowhere".into();
    wrong.streams[0].repeated_per_mille = 1;
    let mut wrong = json!(wrong);
    wrong["faults"] = json!([{ "at_s": 99, "do": "silence", "server": "larder-llm-0" }]);

    let findings = parse(wrong.to_string().as_bytes(), |_| document()).expect_err("findings");

    expect![[r#"
        warm_up_s: must be shorter than the duration
        streams[0].rate_per_s: must be above 0, at most 10000
        streams[0].organisations[0]: the document has no `nobody`
        streams[0].repeated_per_mille: is for routes that must land once
        streams[1].route: the document has no `nowhere`
        faults[0].at_s: must lie within the duration
        faults[0].do: needs `links` to be true"#]]
    .assert_eq(&findings.to_string());
}

#[test]
fn the_committed_experiments_are_well_formed() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files = std::fs::read_dir(folder).expect("the folder of experiments");
    let files = files.map(|file| file.expect("a file").path());
    let files: Vec<_> =
        files.filter(|file| file.extension().is_some_and(|e| e == "json")).collect();

    assert!(files.len() >= 4);
    for file in files {
        let bytes = std::fs::read(&file).expect("a readable file");
        let document = |experiment: &chestnutrack_load::experiment::Experiment| {
            experiment.deployment.deployment().document(AddressBlock::random(), 1, true)
        };
        let parsed = parse(&bytes, document).unwrap_or_else(|e| panic!("{file:?}: {e}"));
        assert!(!parsed.streams.is_empty());
    }
}
