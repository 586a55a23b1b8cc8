//! Requests of routes and organisations that allow certain regions only.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, complete_stream, stream_events,
};
use crate::fixture::caller::{call, generation, request};
use crate::fixture::{Host, config, decode, host_with_settings, plain, prefill, settings};
use chestnutrack_core::dispatch::Entry;
use chestnutrack_forward::app;
use chestnutrack_forward::config::Config;
use std::sync::Arc;
use std::time::Duration;

fn answer_ok(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", "fine")]
}

/// Sends two events, then resets the connection.
fn break_stream(request: &ReceivedRequest) -> Vec<Step> {
    let mut steps = stream_events(request, 2);
    steps.extend([Step::Wait(Duration::from_millis(20)), Step::Reset]);
    steps
}

/// Returns the entry of a server in the failure domain `n` of the region `north`, or `s` of `south`.
fn in_domain(domain: &str, entry: Entry) -> Entry {
    Entry { failure_domain: domain.into(), ..entry }
}

/// Starts a host with servers in two regions and these regions for all routes and for the organisation.
async fn host(servers: Vec<Entry>, routes: Option<&[&str]>, owner: Option<&[&str]>) -> Host {
    let regions = [("n", "north"), ("s", "south")];
    let regions = regions.into_iter().map(|(domain, region)| (domain.into(), region.into()));
    let settings = app::Settings { regions: regions.collect(), ..settings("host") };
    let host = host_with_settings(settings, servers).await;
    let names = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect::<Vec<_>>();
    let mut config = Config { version: 2, ..config() };
    config.routes.iter_mut().for_each(|route| route.regions = routes.map(names));
    config.organisations[0].regions = owner.map(names);
    host.app.configure(config, b"{}".to_vec());
    host
}

// Guards against a request to a plain service that reaches another region, or none although both lists allow one.
#[tokio::test]
async fn plain_requests_reach_the_regions_that_route_and_organisation_both_allow() {
    type Lists = (Option<&'static [&'static str]>, Option<&'static [&'static str]>);
    let both: &[&str] = &["north", "south"];
    let cases: [(Lists, (u16, bool, bool)); 5] = [
        ((None, None), (200, true, true)),
        ((Some(&["north"]), None), (200, true, false)),
        ((Some(both), Some(&["south"])), (200, false, true)),
        ((Some(&["north"]), Some(&["south"])), (503, false, false)),
        ((None, Some(&[])), (503, false, false)),
    ];
    for ((routes, owner), expected) in cases {
        let (north, south) = (Backend::start(answer_ok).await, Backend::start(answer_ok).await);
        let servers =
            vec![in_domain("n", plain("app-1", &north)), in_domain("s", plain("app-2", &south))];
        let host = host(servers, routes, owner).await;

        let mut status = 0;
        for _ in 0..24 {
            status = call(host.address, &request("GET", "/look/1", "", "")).await.status;
            tokio::time::sleep(Duration::from_millis(12)).await;
        }

        let reached = (status, !north.received().is_empty(), !south.received().is_empty());
        assert_eq!(reached, expected, "{routes:?} {owner:?}");
    }
}

// Guards against a stream that is resumed, or a prompt that is prefilled, in a region that is not allowed.
#[tokio::test]
async fn a_stream_that_breaks_is_not_resumed_in_another_region() {
    let (prefiller, other_prefiller) =
        (Backend::start(answer_prefill).await, Backend::start(answer_prefill).await);
    let (breaking, other) =
        (Backend::start(break_stream).await, Backend::start(complete_stream).await);
    let servers = vec![
        in_domain("n", prefill("p-1", &prefiller)),
        in_domain("s", prefill("p-2", &other_prefiller)),
        in_domain("n", decode("d-1", &breaking)),
        in_domain("s", decode("d-2", &other)),
    ];
    let host = host(servers, Some(&["north"]), None).await;

    let answer = call(host.address, &generation("/recap/7")).await;

    assert!(!answer.complete && breaking.request_count() >= 1);
    let elsewhere = [&other, &other_prefiller].map(|backend| backend.request_count());
    assert_eq!((elsewhere, other.reports() + other_prefiller.reports()), ([0, 0], 0));
}

// Guards against a request that waits although no server is allowed.
#[tokio::test]
async fn a_generation_that_no_engine_is_allowed_to_get_is_refused_at_once() {
    let engine = Backend::start(complete_stream).await;
    let host = host(vec![in_domain("s", decode("d-1", &engine))], Some(&["north"]), None).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.header("retry-after")), (503, Some("8.000")));
    assert_eq!(engine.request_count(), 0);
}
