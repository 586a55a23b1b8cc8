//! Tests of the choice of prefill engines by the prefixes that they hold.

use super::choice::{NOW, dispatch, place, request};
use super::simulation::entry;
use crate::dispatch::{Dispatch, Entry, Placement, Request};
use crate::prefix::Prefix;
use chestnutrack_wire::frame::{EngineReport, News, PrefixReport};
use std::sync::Arc;
use std::time::Duration;

/// Time that a prefill takes in these tests.
const PREFILL_TIME: Duration = Duration::from_millis(100);

/// Returns a request whose first 4,000 tokens are shared with others of the same `shared`, and whose last 1,000 are its own.
fn sharing(shared: u64, own: u64) -> Request {
    let prefixes = [Prefix { hash: shared, tokens: 4_000 }, Prefix { hash: own, tokens: 5_000 }];
    Request { prefixes: Arc::new(prefixes), ..request() }
}

/// Returns the name of the engine that prefills.
fn prefill_name(dispatch: &Dispatch<u32>, placement: Placement) -> Arc<str> {
    dispatch.entry(placement.prefill.unwrap()).unwrap().name.clone()
}

/// Places a request, ends it after its prefill, and returns the engine that prefilled.
fn prefill(dispatch: &mut Dispatch<u32>, request: Request) -> Arc<str> {
    let placement = place(dispatch, request).unwrap();
    let name = prefill_name(dispatch, placement);
    dispatch.finish_prefill(placement.generation, Some(PREFILL_TIME));
    dispatch.finish_generation(placement.generation, true);
    name
}

/// Guards against prompts with a common beginning that are spread over all idle engines, so that each computes it again.
#[test]
fn prompts_with_a_common_prefix_go_to_the_engine_that_holds_it() {
    let mut dispatch = dispatch(2, 8);
    let first = prefill(&mut dispatch, sharing(1, 11));

    let next: Vec<Arc<str>> = (12..20).map(|own| prefill(&mut dispatch, sharing(1, own))).collect();

    assert!(next.iter().all(|name| *name == first), "{first}: {next:?}");
}

/// Guards against a burst of one popular prefix that queues at one engine while others are idle.
#[test]
fn a_prefix_never_makes_a_request_wait_longer_than_it_saves() {
    let mut dispatch = dispatch(2, 8);
    let holder = prefill(&mut dispatch, sharing(1, 11));
    let report = EngineReport { server: holder.clone(), runs: Vec::new(), prefilling: 4_500 };
    let news = News { engines: vec![report], ..News::default() };
    dispatch.update_peer(NOW, &"peer".into(), &news);

    let placement = place(&mut dispatch, sharing(1, 12)).unwrap();

    assert_ne!(prefill_name(&dispatch, placement), holder);
    assert_eq!(placement.basis.cached_tokens, 0);
}

#[test]
fn requests_without_shared_parts_are_placed_as_if_nothing_were_held() {
    let (mut with, mut without) = (dispatch(2, 8), dispatch(2, 8));
    prefill(&mut with, sharing(1, 11));
    prefill(&mut without, request());

    let names: Vec<_> =
        (0..8).map(|_| (prefill(&mut with, request()), prefill(&mut without, request()))).collect();

    assert!(names.iter().all(|(with, without)| with == without), "{names:?}");
}

/// Guards against hosts that each fill another engine with the same prefix.
#[test]
fn a_peer_learns_what_this_host_has_prefilled() {
    let (mut host, mut peer) = (dispatch(2, 8), dispatch(2, 8));
    let holder = prefill(&mut host, sharing(1, 11));

    let reports = host.take_prefix_reports(NOW);
    peer.record_peer_prefixes(NOW, &reports);
    let placement = place(&mut peer, sharing(1, 12)).unwrap();

    assert_eq!(prefill_name(&peer, placement), holder);
    assert!(placement.basis.cached_tokens > 3_000, "{placement:?}");
    assert!(host.take_prefix_reports(NOW).is_empty());
}

/// Guards against a restarted engine, which holds nothing, or one that never existed, that is preferred.
#[test]
fn reports_on_other_processes_and_prefixes_of_restarted_engines_are_ignored() {
    let mut dispatch = dispatch(1, 1);
    let report = |server: &str, born| PrefixReport {
        server: server.into(),
        born,
        prefixes: vec![(1, 4_000), (12, u32::MAX)],
        age_ms: u32::MAX,
    };
    dispatch.record_peer_prefixes(NOW, &[report("e1", Some(99)), report("unknown", None)]);
    let other_process = place(&mut dispatch, sharing(1, 12)).unwrap().basis.cached_tokens;
    prefill(&mut dispatch, sharing(1, 13));

    dispatch.put(NOW, Entry { born: Some(2), ..entry(1, false) });
    let restarted = place(&mut dispatch, sharing(1, 14)).unwrap().basis.cached_tokens;

    assert_eq!((other_process, restarted), (0, 0));
}

/// Guards against a prefill speed that seems high, since part of the prompts was cached.
#[test]
fn tokens_that_are_cached_do_not_count_towards_the_prefill_speed() {
    let mut dispatch = dispatch(2, 1);
    for own in 11..60 {
        // 50 tokens a millisecond, of which the engine computes 1,000 once it holds the others.
        let placement = place(&mut dispatch, sharing(1, own)).unwrap();
        let computed = 5_000 - placement.basis.cached_tokens;
        let took = Duration::from_micros(computed * 20);
        dispatch.finish_prefill(placement.generation, Some(took));
        dispatch.finish_generation(placement.generation, true);
    }

    let expected = place(&mut dispatch, request()).unwrap().basis.expected_prefill_time;

    let error = expected.abs_diff(Duration::from_millis(100));
    assert!(error <= Duration::from_millis(2), "{expected:?}");
}
