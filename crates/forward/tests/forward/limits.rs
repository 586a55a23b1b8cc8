//! Allowances, bodies and budgets.

use crate::fixture::backend::{Backend, Step, answer, not_run};
use crate::fixture::caller::{call, request};
use crate::fixture::{host, plain};

#[tokio::test]
async fn an_organisation_over_its_allowance_is_told_when_to_come_back() {
    let backend = Backend::start(|seen| vec![answer(seen, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let large = request("POST", "/pay/7", "x-chestnutrack-tokens: 9900,50\r\n", "");

    let first = call(host.address, &large).await;
    let second = call(host.address, &large).await;

    assert_eq!((first.status, second.status), (200, 429));
    assert!(second.header("retry-after").is_some());
    assert_eq!(backend.count(), 1);
}

#[tokio::test]
async fn what_did_not_run_costs_no_tokens() {
    let full = Backend::start(not_run).await;
    let host = host(vec![plain("app-1", &full)]).await;
    let large = request("POST", "/pay/7", "x-chestnutrack-tokens: 9900,50\r\n", "");

    let first = call(host.address, &large).await;
    let second = call(host.address, &large).await;

    assert_eq!((first.status, second.status), (503, 503));
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let backend = Backend::start(|seen| vec![answer(seen, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let body = "x".repeat((1 << 20) + 1);

    let refused = call(host.address, &request("POST", "/pay/7", "", &body)).await;
    let taken = call(host.address, &request("POST", "/pay/7", "", &body[1..])).await;

    assert_eq!((refused.status, taken.status, backend.count()), (413, 200, 1));
}

#[tokio::test]
async fn repeats_end_with_their_budget() {
    let broken = Backend::start(|_| vec![Step::Reset]).await;
    let worse = Backend::start(|_| vec![Step::Reset]).await;
    let host = host(vec![plain("app-1", &broken), plain("app-2", &worse)]).await;
    const REQUESTS: usize = 60;

    for _ in 0..REQUESTS {
        call(host.address, &request("GET", "/look/7", "", "")).await;
    }

    let repeats = broken.count() + worse.count() - REQUESTS;
    // 14 of the fleet's 20, and 15 in a hundred requests.
    assert!(repeats <= 14 + REQUESTS * 15 / 100, "{repeats}");
}
