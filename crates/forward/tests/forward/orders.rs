//! Orders that change the stage of engines.

use crate::fixture::backend::{Backend, ReceivedRequest, answer};
use crate::fixture::store::{register_for_orders, start_store};
use crate::fixture::{decode, host_with_settings, settings, wait_until};
use chestnutrack_forward::app;
use std::time::{Duration, Instant};

/// Time in which an engine gets an order, also if an earlier one was not sent. It is shorter than the time for which an engine
/// counts as unavailable that may still carry out an order.
const ORDER_TIME: Duration = Duration::from_secs(12);

/// Starts an engine that accepts orders. Its process starts again after it has answered the call for the report with this
/// number.
async fn engine(restarts_after: u32) -> Backend {
    let engine = Backend::start(|received| vec![answer(received, "202 Accepted", "")]).await;
    engine.set_born(1);
    engine.restart_after_report(restarts_after);
    engine
}

/// Has a host without prefill engines order one of two decode engines to prefill, whose processes start again after the
/// report with this number. Returns the first order, and when it came.
async fn first_order(restarts_after: u32) -> (ReceivedRequest, Duration) {
    let engines = [engine(restarts_after).await, engine(restarts_after).await];
    let settings = app::Settings { is_fleet_first_start: true, ..settings("host") };
    let servers = vec![decode("decode-1", &engines[0]), decode("decode-2", &engines[1])];
    let host = host_with_settings(settings, servers).await;
    let started_at = Instant::now();

    let _registration = register_for_orders(&host.app, &start_store().await).await;
    wait_until(|| engines.iter().any(|engine| engine.request_count() > 0)).await;

    let mut received = engines.iter().flat_map(Backend::received);
    (received.next().unwrap(), started_at.elapsed())
}

// Guards against an order that was decided for one process and reaches the next one under its name and address, whose stage
// and build nobody knows.
#[tokio::test]
async fn an_engine_that_has_started_again_gets_no_order_before_it_was_asked() {
    let ((after_first, _), (after_second, elapsed)) = tokio::join!(first_order(1), first_order(2));

    assert_eq!((&*after_first.line, &*after_second.line), ("POST /v1/orders", "POST /v1/orders"));
    assert!(after_first.reports > 1, "asked {} times", after_first.reports);
    assert!(after_second.reports > 2, "asked {} times", after_second.reports);
    assert!(elapsed < ORDER_TIME, "{elapsed:?}");
}
