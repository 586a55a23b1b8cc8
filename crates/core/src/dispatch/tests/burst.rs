//! Tests of the decisions by which hosts recover from a burst of long prompts.

use super::choice::{NOW, dispatch, place, request};
use super::simulation::service;
use crate::dispatch::{Dispatch, Effect, Request};
use chestnutrack_wire::frame::{EngineReport, News};
use std::time::Duration;

/// Place of late requests of the first rank in the order of admission, as peers report it.
const LATE: u8 = 128;

fn late() -> Request {
    Request { first_token_by: None, ..request() }
}

/// Reports of a peer with a number of requests that have waited for 500 ms.
fn waiting(count: usize, order: u8) -> News {
    let waiting_order = vec![(service(), order); count];
    News { waiting: vec![500; count], waiting_order, ..News::default() }
}

fn with_peer(mut dispatch: Dispatch<u32>, news: &News) -> Dispatch<u32> {
    dispatch.update_peer(NOW, &"peer".into(), news);
    dispatch
}

#[test]
fn a_late_request_waits_until_a_prefill_engine_is_idle() {
    let mut dispatch = dispatch(2, 1);
    let first = place(&mut dispatch, request()).unwrap();

    dispatch.submit(NOW, late(), 1).unwrap();
    let while_busy = dispatch.tick(NOW).len();
    dispatch.finish_prefill(first.generation, Some(Duration::from_millis(100)));
    let when_idle = dispatch.tick(NOW);

    assert_eq!(while_busy, 0);
    assert!(matches!(when_idle[..], [Effect::Admit(1, _)]), "{when_idle:?}");
}

#[test]
fn a_request_that_can_be_in_time_passes_late_ones_at_this_host_and_at_peers() {
    let mut dispatch = dispatch(1, 1);
    let [first, _] = [(); 2].map(|()| place(&mut dispatch, request()).unwrap());
    dispatch.submit(NOW, late(), 1).unwrap();
    dispatch.finish_prefill(first.generation, None);

    let placed_behind = |order| {
        // There is room for three generations.
        let mut dispatch = with_peer(self::dispatch(1, 1), &waiting(3, order));
        place(&mut dispatch, request()).is_some()
    };

    assert!(place(&mut dispatch, request()).is_some());
    assert_eq!([LATE, 0].map(placed_behind), [true, false]);
}

#[test]
fn hosts_with_late_requests_use_as_many_idle_prefill_engines_as_there_are_in_order_of_age() {
    // Guards against all hosts sending a late prompt to the one engine that has become idle.
    let admitted = |older_at_peer, engines| {
        let mut dispatch = with_peer(dispatch(4, engines), &waiting(older_at_peer, LATE));
        place(&mut dispatch, late()).is_some()
    };

    assert!(admitted(0, 1));
    assert!(!admitted(1, 1));
    assert!(admitted(1, 2));
    assert!(!admitted(3, 3));
}

#[test]
fn a_long_prompt_of_a_late_request_leaves_an_idle_engine_to_those_that_can_be_in_time() {
    let admitted = |prompt_tokens, engines| {
        let mut dispatch = dispatch(1, engines);
        dispatch.configure_engines(&service(), 1_000_000, 59);
        place(&mut dispatch, Request { prompt_tokens, ..late() }).is_some()
    };

    // 30,000 tokens take 600 ms.
    assert_eq!([1, 2].map(|engines| admitted(30_000, engines)), [true, true]);
    let mut dispatch = dispatch(1, 2);
    dispatch.configure_engines(&service(), 1_000_000, 59);
    place(&mut dispatch, request()).unwrap();
    dispatch.submit(NOW, Request { prompt_tokens: 30_000, ..late() }, 1).unwrap();
    assert!(place(&mut dispatch, request()).is_some());
}

#[test]
fn a_long_prompt_of_a_late_request_takes_the_last_idle_engine_after_a_second() {
    // Guards against long prompts that are never served while short ones keep all engines but one busy.
    let mut dispatch = dispatch(1, 2);
    dispatch.configure_engines(&service(), 1_000_000, 59);
    place(&mut dispatch, request()).unwrap();
    dispatch.submit(NOW, Request { prompt_tokens: 30_000, ..late() }, 1).unwrap();

    let [before, after] =
        [999, 1_001].map(|millis| dispatch.tick(NOW + Duration::from_millis(millis)));

    assert!(before.is_empty(), "{before:?}");
    assert!(matches!(after[..], [Effect::Admit(1, _)]), "{after:?}");
}

#[test]
fn a_request_whose_caller_would_leave_before_its_first_token_is_refused_at_once() {
    // Guards against prompts that are prefilled for callers that have left.
    let submitted = |prefilling| {
        let engines = vec![EngineReport { server: "e2".into(), runs: Vec::new(), prefilling }];
        let news = News { engines, ..News::default() };
        let mut dispatch = with_peer(dispatch(2, 1), &news);
        place(&mut dispatch, Request { first_token_by: Some(late().deadline), ..request() });
        let leaves_at = NOW + Duration::from_millis(1_300);
        // The decode engines may not be stalled by a prefill.
        let max_pause = Some(Duration::from_millis(100));
        dispatch.submit(NOW, Request { leaves_at, max_pause, ..late() }, 1)
    };

    let behind_short_queue = submitted(0);
    let behind_long_queue = submitted(60_000);

    assert!(behind_short_queue.is_ok(), "{behind_short_queue:?}");
    let Err(Effect::Refuse(1, refusal)) = behind_long_queue else { panic!("is not refused") };
    // The queue takes 1,300 ms.
    assert!(refusal.retry_after >= Duration::from_millis(1_300), "{refusal:?}");
}
