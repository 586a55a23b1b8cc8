//! Servers that say in their answers that they are leaving, or that ask for quiet.

use crate::fixture::backend::{Backend, ReceivedRequest, Step, answer, answer_prefill, send};
use crate::fixture::caller::{call, generation, request};
use crate::fixture::{decode, host, plain, prefill};
use chestnutrack_core::dispatch::{Change, Entry};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Answers a request with status 200.
fn answer_ok(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", "fine")]
}

/// Returns the answer with a status and a header.
fn with_header(received: &ReceivedRequest, status: &str, header: &str) -> Vec<Step> {
    let id = received.header("x-chestnutrack-request").unwrap_or("-");
    vec![send(format!(
        "HTTP/1.1 {status}\r\nx-chestnutrack-request: {id}\r\n{header}\r\ncontent-length: 0\r\n\r\n"
    ))]
}

/// Pause between requests, so that the organisation stays within its rate.
const PACE: Duration = Duration::from_millis(20);
const LEAVING: &str = "x-chestnutrack-leaving: 1";

/// A refusal that asks for 1.5 s without requests.
fn ask_for_quiet(received: &ReceivedRequest) -> Vec<Step> {
    with_header(received, "503 Full", "x-chestnutrack-ran: not-run\r\nretry-after: 1.5")
}

/// Answers a generation without prefilling elsewhere.
fn answer_stream(received: &ReceivedRequest) -> Vec<Step> {
    use crate::fixture::backend::{event, stream_end, stream_head};
    vec![stream_head(received), event(1), stream_end()]
}

#[tokio::test]
async fn after_any_answer_that_says_so_a_leaving_server_gets_nothing_more() {
    type Script = fn(&ReceivedRequest) -> Vec<Step>;
    let scripts: [(&str, Script); 3] = [
        ("success", |received| with_header(received, "200 OK", LEAVING)),
        ("failure", |received| with_header(received, "500 Broken", LEAVING)),
        ("refusal", |received| {
            let headers = format!("x-chestnutrack-ran: not-run\r\n{LEAVING}");
            with_header(received, "429 Full", &headers)
        }),
    ];
    for (name, script) in scripts {
        let (leaving, other) = (Backend::start(script).await, Backend::start(answer_ok).await);
        let host = host(vec![plain("app-1", &leaving), plain("app-2", &other)]).await;
        while leaving.received().is_empty() {
            call(host.address, &request("GET", "/look/1", "", "")).await;
        }

        for _ in 0..12 {
            call(host.address, &request("GET", "/look/1", "", "")).await;
        }

        assert_eq!(leaving.received().len(), 1, "{name}");
    }
}

#[tokio::test]
async fn an_engine_that_says_it_is_leaving_when_it_prefills_gets_no_more_prompts() {
    let leaving = Backend::start(|received| {
        let id = received.header("x-chestnutrack-request").unwrap_or("-");
        let body = r#"{"handle":"kept-1"}"#;
        vec![send(format!(
            "HTTP/1.1 200 OK\r\nx-chestnutrack-request: {id}\r\n{LEAVING}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ))]
    })
    .await;
    let other = Backend::start(answer_prefill).await;
    let decoding = Backend::start(answer_stream).await;
    let host =
        host(vec![prefill("p-1", &leaving), prefill("p-2", &other), decode("d-1", &decoding)])
            .await;
    while leaving.received().is_empty() {
        call(host.address, &generation("/digest/1")).await;
    }

    for _ in 0..8 {
        assert_eq!(call(host.address, &generation("/digest/1")).await.status, 200);
    }

    assert_eq!(leaving.received().len(), 1);
}

// Guards against an engine that gets requests after it has said that it is leaving, since its process had started again and was
// listed only after that.
#[tokio::test]
async fn an_engine_that_said_it_is_leaving_before_its_entry_came_gets_nothing_more() {
    let prefiller = Backend::start(answer_prefill).await;
    let leaving = Backend::start(|received| with_header(received, "200 OK", LEAVING)).await;
    let other = Backend::start(answer_stream).await;
    let entry = decode("d-1", &leaving);
    let servers = vec![prefill("p-1", &prefiller), entry.clone(), decode("d-2", &other)];
    leaving.set_born(2);
    let host = host(servers).await;
    while leaving.received().is_empty() {
        call(host.address, &generation("/digest/1")).await;
    }

    host.app.apply_change(Change::Put(
        entry.name.clone(),
        Entry { born: Some(2), build: "v2".into(), ..entry },
    ));
    for _ in 0..12 {
        assert_eq!(call(host.address, &generation("/digest/1")).await.status, 200);
    }

    assert_eq!(leaving.received().len(), 1);
}

#[tokio::test]
async fn a_generation_is_placed_anew_if_its_engine_leaves_while_the_prompt_is_prefilled() {
    let first = Backend::start(answer_stream).await;
    let second = Backend::start(answer_stream).await;
    let prefilling = Backend::start(|received| {
        let mut steps = vec![Step::Wait(Duration::from_millis(300))];
        steps.extend(answer_prefill(received));
        steps
    })
    .await;
    let host =
        host(vec![prefill("p-1", &prefilling), decode("d-1", &first), decode("d-2", &second)])
            .await;
    let address = host.address;
    let calling = tokio::spawn(async move { call(address, &generation("/digest/1")).await });
    // While its prompt is prefilled, a peer says that the engine of each generation leaves.
    crate::fixture::wait_until(|| !prefilling.received().is_empty()).await;
    let leaving = chestnutrack_wire::frame::LeavingReport { server: "d-1".into(), born: Some(1) };
    host.app.record_peer_leaving("peer", &[leaving]);

    let answer = calling.await.unwrap();

    assert_eq!(answer.status, 200);
    assert!(first.received().is_empty());
}

#[tokio::test]
async fn a_server_that_asks_for_quiet_gets_nothing_for_that_time() {
    let (quiet, other) = (Backend::start(ask_for_quiet).await, Backend::start(answer_ok).await);
    let host = host(vec![plain("app-1", &quiet), plain("app-2", &other)]).await;
    while quiet.received().is_empty() {
        call(host.address, &request("GET", "/look/1", "", "")).await;
    }
    let asked_at = Instant::now();

    while asked_at.elapsed() < Duration::from_millis(1_200) {
        let answer = call(host.address, &request("GET", "/look/1", "", "")).await;
        assert_eq!(answer.status, 200);
        tokio::time::sleep(PACE).await;
    }
    let meanwhile = quiet.received().len();
    while quiet.received().len() == 1 && asked_at.elapsed() < Duration::from_secs(20) {
        call(host.address, &request("GET", "/look/1", "", "")).await;
        tokio::time::sleep(PACE).await;
    }

    assert_eq!(meanwhile, 1);
    assert!(asked_at.elapsed() >= Duration::from_millis(1_400), "{:?}", asked_at.elapsed());
}

#[tokio::test]
async fn callers_of_a_service_that_wants_quiet_are_told_at_once_when_to_come_back() {
    let backend = Backend::start(ask_for_quiet).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    call(host.address, &request("POST", "/pay/1", "", "")).await;

    let started_at = Instant::now();
    let answer = call(host.address, &request("POST", "/pay/1", "", "")).await;

    let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert_eq!((answer.status, backend.received().len()), (503, 1));
    assert!(retry_after > 0.5 && retry_after <= 1.5, "{retry_after}");
    assert!(started_at.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn an_absurd_retry_after_is_bounded_or_ignored() {
    for (value, is_followed) in
        [("-5", false), ("Fri, 04 Dec 2026 10:00:00 GMT", false), ("NaN", false), ("1e300", true)]
    {
        let count = AtomicU32::new(0);
        let backend = Backend::start(move |received| match count.fetch_add(1, Ordering::Relaxed) {
            0 => {
                let headers = format!("x-chestnutrack-ran: not-run\r\nretry-after: {value}");
                with_header(received, "503 Full", &headers)
            }
            _ => answer_ok(received),
        })
        .await;
        let host = host(vec![plain("app-1", &backend)]).await;
        call(host.address, &request("POST", "/pay/1", "", "")).await;

        let answer = call(host.address, &request("POST", "/pay/1", "", "")).await;

        let retry_after = answer.header("retry-after").map(|text| text.parse::<f64>().unwrap());
        assert_eq!(answer.status, if is_followed { 503 } else { 200 }, "{value}");
        assert_eq!(retry_after.is_some_and(|after| after > 50.0 && after <= 60.0), is_followed);
    }
}
