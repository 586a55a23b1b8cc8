//! Guarantee: each caller gets the whole answer to its own request, and only one answer.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_harness::{Fleet, Settings};
use common::{assert_whole, completion, slow_fleet, start_completion};

const TOKENS: u32 = 60;
const SIDES: [&str; 2] = ["side-larder-llm-3", "side-larder-llm-4"];

async fn linked_fleet() -> Fleet {
    Fleet::start(Settings { links: true, ..slow_fleet() }).await.unwrap()
}

#[tokio::test]
async fn an_answer_survives_a_cut_connection() {
    let fleet = linked_fleet().await;
    let stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", TOKENS)).await;

    for side in SIDES {
        fleet.link(side).unwrap().cut();
        fleet.link(side).unwrap().restore();
    }

    assert_whole(&stream.finish().await.unwrap(), "early pies", TOKENS);
}

#[tokio::test]
async fn an_answer_survives_a_stalled_connection() {
    let fleet = linked_fleet().await;
    let stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", TOKENS)).await;

    for side in SIDES {
        fleet.link(side).unwrap().stall_open();
    }

    assert_whole(&stream.finish().await.unwrap(), "early pies", TOKENS);
}

#[tokio::test]
async fn an_answer_survives_a_killed_side_process() {
    let mut fleet = linked_fleet().await;
    let stream = start_completion(&fleet, 0, &completion(&fleet, "early pies", TOKENS)).await;

    for side in SIDES {
        let side = fleet.process(side).unwrap();
        side.kill().await;
        side.restart().unwrap();
    }

    assert_whole(&stream.finish().await.unwrap(), "early pies", TOKENS);
}

#[tokio::test]
async fn concurrent_answers_are_not_mixed_up() {
    let fleet = linked_fleet().await;
    let prompts: Vec<String> = (0..12).map(|number| format!("basket {number}")).collect();
    let calls = prompts.iter().enumerate().map(|(number, prompt)| {
        let entry = u8::try_from(number % 2).unwrap();
        let call = completion(&fleet, prompt, TOKENS);
        let fleet = &fleet;
        async move { fleet.call(entry, &call).await.unwrap() }
    });

    let answers = futures_util::future::join_all(calls).await;

    for (answer, prompt) in answers.iter().zip(&prompts) {
        assert_whole(answer, prompt, TOKENS);
    }
}
