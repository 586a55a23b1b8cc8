//! Tests of single admission and placement decisions.

use super::simulation::{entry, service};
use crate::dispatch::{
    Dispatch, Effect, Entry, Outcome, Placement, PlainOutcome, Request, Residency, Settings,
};
use crate::time::Instant;
use chestnutrack_wire::frame::{EngineReport, GenerationReport, News};
use std::sync::Arc;
use std::time::Duration;

pub(super) const NOW: Instant = Instant::from_millis(1_000_000);
const KV_TOKENS: u64 = 20_000;

pub(super) fn dispatch(decode: usize, prefill: usize) -> Dispatch<u32> {
    let mut dispatch = Dispatch::new(Settings::default(), "a".into());
    dispatch.configure_engines(&service(), KV_TOKENS, 59);
    for engine in 0..decode + prefill {
        dispatch.put(NOW, entry(engine, engine < decode));
    }
    dispatch
}

pub(super) fn request() -> Request {
    Request {
        service: service(),
        organisation: "orchard".into(),
        priority: 0,
        prompt_tokens: 5_000,
        output_tokens: 2_000,
        length_hint: Some(1_000),
        arrived: NOW,
        first_token_by: Some(NOW + Duration::from_millis(900)),
        leaves_at: NOW + Duration::from_secs(14),
        deadline: NOW + Duration::from_secs(14),
        max_pause: Some(Duration::from_millis(300)),
        urgent: false,
        prefilled: false,
        prefixes: Arc::default(),
        resumable: false,
        build: None,
        residency: Residency::default(),
    }
}

pub(super) fn place(dispatch: &mut Dispatch<u32>, request: Request) -> Option<Placement> {
    match dispatch.submit(NOW, request, 0) {
        Err(Effect::Admit(_, placement)) => Some(placement),
        _ => None,
    }
}

pub(super) fn decode_name(dispatch: &Dispatch<u32>, placement: Option<Placement>) -> String {
    let entry = placement.and_then(|placement| dispatch.entry(placement.decode));
    entry.map(|entry| entry.name.to_string()).unwrap_or_default()
}

#[test]
fn a_generation_is_placed_only_where_its_forecast_memory_fits() {
    let mut dispatch = dispatch(2, 1);

    let placed = (0..8).map_while(|_| place(&mut dispatch, request())).count();

    // Each engine fits three generations of 5,000 tokens that grow to 6,000.
    assert_eq!(placed, 6);
}

#[test]
fn generations_reported_by_peers_count_against_capacity() {
    let mut dispatch = dispatch(1, 1);
    let run = GenerationReport { context: 9_000, made: 100, expected: 1_000, most: 2_000 };
    let engines = vec![EngineReport { server: "e0".into(), runs: vec![run; 2], prefilling: 0 }];

    dispatch.update_peer(NOW, &"peer".into(), &News { engines, ..News::default() });

    assert_eq!(place(&mut dispatch, request()), None);
    dispatch.remove_peer(NOW, &"peer".into());
    assert!(place(&mut dispatch, request()).is_some());
}

#[test]
fn an_engine_that_is_leaving_changing_stage_replaced_unreachable_or_removed_is_skipped() {
    type Change = fn(&mut Dispatch<u32>);
    let changes: [Change; 5] = [
        |dispatch| {
            dispatch.put(NOW, Entry { leaving: true, ..entry(0, true) });
        },
        |dispatch| dispatch.record_stage_change(NOW, "e0", Duration::from_secs(6)),
        |dispatch| {
            let (key, _) = dispatch.put(NOW, entry(0, true));
            dispatch.mark_replaced(key);
        },
        |dispatch| {
            let (key, _) = dispatch.put(NOW, entry(0, true));
            dispatch.record_outcome(NOW, key, Outcome::Unreachable);
        },
        |dispatch| {
            dispatch.remove(NOW, "e0");
        },
    ];
    for change in changes {
        let mut dispatch = dispatch(2, 1);
        change(&mut dispatch);

        let chosen: Vec<String> = (0..3)
            .map(|_| {
                let placement = place(&mut dispatch, request());
                decode_name(&dispatch, placement)
            })
            .collect();

        assert_eq!(chosen, ["e1", "e1", "e1"]);
    }
}

#[test]
fn a_changed_entry_clears_the_replaced_mark() {
    let mut dispatch = dispatch(1, 1);
    let (key, _) = dispatch.put(NOW, entry(0, true));
    dispatch.mark_replaced(key);
    let before = place(&mut dispatch, request());

    dispatch.put(NOW, Entry { born: Some(2), ..entry(0, true) });

    assert_eq!(before, None);
    assert!(place(&mut dispatch, request()).is_some());
}

#[test]
fn an_engine_that_a_peer_avoids_is_chosen_last() {
    let mut dispatch = dispatch(2, 1);
    let news = News { failing: vec!["e1".into()], ..News::default() };

    dispatch.update_peer(NOW, &"peer".into(), &news);

    let chosen: Vec<String> = (0..4)
        .map(|_| {
            let placement = place(&mut dispatch, request());
            decode_name(&dispatch, placement)
        })
        .collect();
    assert_eq!(chosen, ["e0", "e0", "e0", "e1"]);
}

#[test]
fn a_replaced_server_is_reported_as_failing_until_its_entry_changes() {
    // Engines that crashed stay listed for seconds, while new engines already answer at their
    // addresses.
    let mut dispatch = dispatch(2, 1);
    let (key, _) = dispatch.put(NOW, entry(0, true));

    dispatch.mark_replaced(key);
    let reported = dispatch.failing_servers(NOW);
    dispatch.put(NOW, Entry { born: Some(2), ..entry(0, true) });

    assert_eq!(reported, ["e0".into()]);
    assert!(dispatch.failing_servers(NOW).is_empty());
}

#[test]
fn the_first_token_forecast_uses_the_engine_that_will_prefill() {
    // One prefill engine is idle but failed recently; the other is healthy and has 80,000 tokens
    // queued. Forecasting by the idle engine would admit a prompt that is then queued at the
    // healthy one and comes late.
    let mut dispatch = dispatch(2, 2);
    let engines = vec![EngineReport { server: "e3".into(), runs: vec![], prefilling: 80_000 }];
    let news = News { engines, doubtful: vec!["e2".into()], ..News::default() };
    dispatch.update_peer(NOW, &"peer".into(), &news);

    let placed = place(&mut dispatch, Request { prompt_tokens: 4_000, ..request() }).unwrap();

    assert_eq!(placed.prefill, None, "{placed:?}");
}

#[test]
fn an_engine_that_failed_is_chosen_last_for_one_second_even_when_others_are_busy() {
    let mut dispatch = dispatch(2, 1);
    let (key, _) = dispatch.put(NOW, entry(0, true));
    while place(&mut dispatch, request()).is_some_and(|placement| placement.decode != key) {}
    dispatch.record_outcome(NOW, key, Outcome::Failure);
    let at_once = place(&mut dispatch, request()).unwrap();
    dispatch.record_outcome(NOW, key, Outcome::Failure);

    let placed: Vec<_> = (0..2).map_while(|_| place(&mut dispatch, request())).collect();
    let later = NOW + Duration::from_secs(2);
    let retried = dispatch.submit(
        later,
        Request { first_token_by: Some(later + Duration::from_secs(1)), ..request() },
        0,
    );

    assert_ne!(at_once.decode, key);
    assert!(placed.iter().all(|placement| placement.decode != key), "{placed:?}");
    assert!(
        matches!(retried, Err(Effect::Admit(_, placement)) if placement.decode == key),
        "{retried:?}"
    );
}

#[test]
fn a_prompt_behind_a_long_prefill_queue_is_prefilled_on_its_decode_engine_unless_that_stalls_others()
 {
    let mut dispatch = dispatch(4, 1);
    let engines = vec![EngineReport { server: "e4".into(), runs: vec![], prefilling: 60_000 }];
    dispatch.update_peer(NOW, &"peer".into(), &News { engines, ..News::default() });

    let short = place(&mut dispatch, request());
    let long = place(&mut dispatch, Request { prompt_tokens: 10_000, ..request() });

    assert_eq!(short.map(|placement| placement.prefill), Some(None));
    assert_eq!(long, None);
}

#[test]
fn without_a_prefill_engine_the_decode_engine_prefills() {
    let mut dispatch = dispatch(1, 0);

    let placement = place(&mut dispatch, request()).unwrap();

    assert_eq!(placement.prefill, None);
}

#[test]
fn a_waiting_request_is_admitted_when_memory_frees_up_and_refused_when_too_late() {
    let mut dispatch = dispatch(1, 1);
    let first = place(&mut dispatch, request()).unwrap();
    for _ in 0..2 {
        let placement = place(&mut dispatch, request()).unwrap();
        dispatch.finish_prefill(placement.generation, Some(Duration::from_millis(100)));
        dispatch.record_tokens(NOW, placement.generation, 900);
    }
    dispatch.finish_prefill(first.generation, Some(Duration::from_millis(100)));
    dispatch.record_tokens(NOW, first.generation, 990);
    let results = [dispatch.submit(NOW, request(), 1), dispatch.submit(NOW, request(), 2)];
    let waiting = results.iter().filter(|result| result.is_ok()).count();
    let before = dispatch.tick(NOW).len();

    dispatch.finish_generation(first.generation, true);
    let admitted = dispatch.tick(NOW);
    let late = dispatch.tick(NOW + Duration::from_secs(1));

    assert_eq!((waiting, before), (2, 0));
    assert!(matches!(admitted[..], [Effect::Admit(1, _)]), "{admitted:?}");
    assert!(matches!(late[..], [Effect::Refuse(2, _)]), "{late:?}");
}

#[test]
fn memory_is_left_for_older_requests_that_wait_at_peers() {
    let mut dispatch = dispatch(1, 1);
    for _ in 0..2 {
        place(&mut dispatch, request()).unwrap();
    }
    let older = News { waiting: vec![500], ..News::default() };

    dispatch.update_peer(NOW, &"peer".into(), &older);

    assert_eq!(place(&mut dispatch, request()), None);
}

#[test]
fn each_refused_caller_gets_a_later_retry_time() {
    let mut dispatch = dispatch(1, 1);
    for tokens in [0, 300, 600] {
        let placement = place(&mut dispatch, request()).unwrap();
        dispatch.record_tokens(NOW, placement.generation, tokens);
    }
    let late = Request { first_token_by: Some(NOW + Duration::from_millis(100)), ..request() };

    let mut retry_times = Vec::new();
    for _ in 0..3 {
        if let Err(Effect::Refuse(_, refusal)) = dispatch.submit(NOW, late.clone(), 0) {
            retry_times.push(refusal.retry_after);
        }
    }

    assert_eq!(retry_times.len(), 3);
    assert!(retry_times.is_sorted_by(|left, right| left < right), "{retry_times:?}");
}

#[test]
fn a_plain_server_that_is_slow_or_returns_errors_gets_few_requests() {
    let took = Duration::from_millis;
    for (name, bad_outcome) in
        [("slow", PlainOutcome::Answered(took(400))), ("errors", PlainOutcome::Failed(took(50)))]
    {
        let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
        for server in 0..4 {
            dispatch.put(NOW, Entry { stage: None, ..entry(server, false) });
        }
        let mut to_bad = 0;
        for request in 0..400 {
            let now = NOW + took(request * 20);
            let key = dispatch.place_plain(now, &service(), &[]).unwrap().key;
            let is_bad = &*dispatch.entry(key).unwrap().name == "e0";
            to_bad += u32::from(is_bad);
            let outcome = if is_bad { bad_outcome } else { PlainOutcome::Answered(took(50)) };
            dispatch.finish_plain(now, key, outcome);
        }

        assert!(to_bad < 40, "{name}: {to_bad} of 400");
    }
}

#[test]
fn an_engine_that_has_no_room_though_it_seems_to_is_passed_over() {
    // A host that was just restarted does not know that an engine is changing its stage. The engine
    // runs nothing, so it seems to have the most room.
    let mut dispatch = dispatch(3, 1);
    let first = place(&mut dispatch, request()).unwrap();
    dispatch.finish_generation(first.generation, false);

    dispatch.record_outcome(NOW, first.decode, Outcome::Refusal);
    let next: Vec<_> = (0..4).filter_map(|_| place(&mut dispatch, request())).collect();

    assert_eq!(next.len(), 4);
    assert!(next.iter().all(|placement| placement.decode != first.decode), "{next:?}");
}

#[test]
fn an_excluded_or_full_plain_server_is_not_chosen_beside_others() {
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    let keys: Vec<_> = (0..3)
        .map(|server| dispatch.put(NOW, Entry { stage: None, ..entry(server, false) }).0)
        .collect();
    while dispatch.place_plain(NOW, &service(), &[keys[0], keys[2]]).is_none() {}
    dispatch.finish_plain(NOW, keys[1], PlainOutcome::Full);

    let chosen: Vec<_> = (0..20)
        .map(|_| dispatch.place_plain(NOW, &service(), &keys[..1]).map(|choice| choice.key))
        .collect();

    assert!(chosen.iter().all(|key| *key == Some(keys[2])), "{chosen:?}");
}

#[test]
fn a_failed_prefill_moves_to_another_engine_and_keeps_its_decode_placement() {
    // A prefill engine loses its answers while all decode engines are full. If the request gave up
    // its decode place together with the prefill, it would not get another one.
    let mut dispatch = dispatch(1, 2);
    let placed: Vec<_> = (0..3).filter_map(|_| place(&mut dispatch, request())).collect();
    let affected = placed[0];
    let first = affected.prefill.unwrap();
    dispatch.record_outcome(NOW, first, Outcome::Failure);

    let retried = dispatch.prefill_elsewhere(NOW, affected.generation, None, &[]).unwrap();
    let next = place(&mut dispatch, request());

    assert_eq!((placed.len(), next), (3, None));
    assert_ne!(retried.engine, first);
    assert!(retried.queued, "others wait there: {retried:?}");
}

#[test]
fn a_prompt_in_progress_on_every_prefill_engine_is_prefilled_nowhere_else() {
    let mut dispatch = dispatch(1, 2);
    let placed = place(&mut dispatch, request()).unwrap();
    let first = placed.prefill.unwrap();

    let other = dispatch.prefill_elsewhere(NOW, placed.generation, None, &[first]).unwrap().engine;
    let both = [first, other];

    assert!(!dispatch.may_prefill_elsewhere(NOW, placed.generation, &both));
    assert_eq!(dispatch.prefill_elsewhere(NOW, placed.generation, None, &both), None);
}
