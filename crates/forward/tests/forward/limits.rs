//! Tests of allowances, body limits and retry budgets.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, event, refuse_as_not_run, send,
    stream_head, unframed_head,
};
use crate::fixture::caller::{call, generation, request};
use crate::fixture::{Host, engines, host, host_with_settings, plain, settings};
use chestnutrack_forward::app;
use std::time::Duration;

#[tokio::test]
async fn an_organisation_over_its_allowance_gets_a_retry_time() {
    let backend = Backend::start(|request| vec![answer(request, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let large = request("POST", "/pay/7", "x-chestnutrack-tokens: 9900,50\r\n", "");

    let first = call(host.address, &large).await;
    let second = call(host.address, &large).await;

    assert_eq!((first.status, second.status), (200, 429));
    assert!(second.header("retry-after").is_some());
    assert_eq!(backend.request_count(), 1);
}

#[tokio::test]
async fn a_request_that_did_not_run_costs_no_tokens() {
    let full = Backend::start(refuse_as_not_run).await;
    let host = host(vec![plain("app-1", &full)]).await;
    let large = request("POST", "/pay/7", "x-chestnutrack-tokens: 9900,50\r\n", "");

    let first = call(host.address, &large).await;
    let second = call(host.address, &large).await;

    assert_eq!((first.status, second.status), (503, 503));
}

// Guards against a sum of token counts that overflows: the request then costs few tokens, or its task panics.
#[tokio::test]
async fn a_request_with_the_highest_token_count_is_over_the_allowance() {
    let backend = Backend::start(|request| vec![answer(request, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let tokens = format!("x-chestnutrack-tokens: {},2\r\n", u64::MAX);

    let answer = call(host.address, &request("POST", "/pay/7", &tokens, "")).await;

    assert_eq!((answer.status, backend.request_count()), (429, 0));
}

// Guards against a share of the burst that overflows: requests then have fewer retries, or their tasks panic.
#[tokio::test]
async fn the_highest_burst_of_retries_allows_a_retry() {
    let host = host(Vec::new()).await;

    host.app.set_retry_burst(u32::MAX);

    assert!(host.app.spend_retry(&"app".into(), 0));
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let backend = Backend::start(|request| vec![answer(request, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let body = "x".repeat((1 << 20) + 1);

    let refused = call(host.address, &request("POST", "/pay/7", "", &body)).await;
    let accepted = call(host.address, &request("POST", "/pay/7", "", &body[1..])).await;

    assert_eq!((refused.status, accepted.status, backend.request_count()), (413, 200, 1));
}

/// Starts a host that may hold 64 KiB of answers, with a server that answers with 40 KiB over a second.
async fn host_of_large_answers() -> (Host, Backend) {
    let backend = Backend::start(|request| {
        let (start, end) = ("x".repeat((40 << 10) - 1), "x");
        let pause = Step::Wait(Duration::from_millis(1_000));
        vec![unframed_head(request, "200 OK", ""), send(start), pause, send(end), Step::Close]
    })
    .await;
    let settings = app::Settings { answer_bytes: 64 << 10, ..settings("host") };
    (host_with_settings(settings, vec![plain("app-1", &backend)]).await, backend)
}

// Guards against many answers without an end that together take more memory than the host has.
#[tokio::test]
async fn answers_that_exceed_the_limit_together_are_lost_but_for_those_within_it() {
    let (host, backend) = host_of_large_answers().await;
    let text = request("POST", "/pay/7", "", "");

    let answers = tokio::join!(call(host.address, &text), call(host.address, &text));

    let mut statuses = [answers.0.status, answers.1.status];
    statuses.sort_unstable();
    assert_eq!((statuses, backend.request_count()), ([200, 502], 2));
}

// Guards against memory that is not released after an answer.
#[tokio::test]
async fn answers_one_after_another_do_not_add_up_to_the_limit() {
    let (host, _backend) = host_of_large_answers().await;

    for _ in 0..3 {
        let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

        assert_eq!((answer.status, answer.body.len(), answer.complete), (200, 40 << 10, true));
    }
}

#[tokio::test]
async fn retries_end_when_their_budget_is_spent() {
    let broken = Backend::start(|_| vec![Step::Reset]).await;
    let other = Backend::start(|_| vec![Step::Reset]).await;
    let host = host(vec![plain("app-1", &broken), plain("app-2", &other)]).await;
    const REQUESTS: usize = 60;

    for _ in 0..REQUESTS {
        call(host.address, &request("GET", "/look/7", "", "")).await;
    }

    let retries = broken.request_count() + other.request_count() - REQUESTS;
    // A burst of 14 (70 % of the fleet's budget of 20), and 15 retries per 100 requests.
    assert!(retries <= 14 + REQUESTS * 15 / 100, "{retries}");
}

// Guards against prefills of resumed streams that are left out of the retry budget.
#[tokio::test]
async fn retries_of_streams_end_when_their_budget_is_spent() {
    let prefiller = Backend::start(answer_prefill).await;
    let script = |request: &_| vec![stream_head(request), event(1), Step::Reset];
    let (broken, other) = (Backend::start(script).await, Backend::start(script).await);
    let host = engines(&prefiller, &[&broken, &other]).await;
    const REQUESTS: usize = 60;

    for _ in 0..REQUESTS {
        call(host.address, &generation("/recap/7")).await;
    }

    let is_prefill = |request: &ReceivedRequest| request.header("x-chestnutrack-step").is_some();
    let prefills = prefiller.received().into_iter().filter(is_prefill).count();
    let arrivals = prefills + broken.request_count() + other.request_count();
    let retries = arrivals - 2 * REQUESTS;
    // A burst of 14 (70 % of the fleet's budget of 20), and 15 retries per 100 requests.
    assert!(retries <= 14 + REQUESTS * 15 / 100, "{retries}");
}
