//! Placement while engines of several builds serve side by side: during a release, and after one was taken back.

use super::choice::{NOW, decode_name, dispatch, place, request};
use super::simulation::entry;
use crate::cell::Cell;
use crate::dispatch::{Dispatch, Effect, Entry, Request};
use std::sync::Arc;
use std::time::Duration;

/// Returns a host that knows a prefill engine, and a decode engine of each build.
fn dispatch_of(builds: &[&str]) -> Dispatch<u32> {
    let mut dispatch = dispatch(0, 1);
    for (n, build) in builds.iter().enumerate() {
        dispatch.put(NOW, Entry { build: (*build).into(), ..entry(n + 1, true) });
    }
    dispatch
}

/// Returns a request that may wait for long.
fn patient() -> Request {
    Request { first_token_by: Some(NOW + Duration::from_secs(60)), ..request() }
}

/// Returns a patient request whose stream `build` began.
fn resuming(build: &str) -> Request {
    Request { urgent: true, build: Some(build.into()), ..patient() }
}

fn names(dispatch: &mut Dispatch<u32>, count: usize, request: &Request) -> Vec<String> {
    let placements = (0..count).map(|_| place(dispatch, request.clone()));
    let placements: Vec<_> = placements.collect();
    placements.into_iter().map(|placement| decode_name(dispatch, placement)).collect()
}

#[test]
fn a_stream_goes_on_at_engines_of_its_build_only() {
    let mut dispatch = dispatch_of(&["v1", "v2", "v2", "v1", "v3"]);

    let names = names(&mut dispatch, 6, &resuming("v1"));

    // Each engine has room for three.
    assert!(names.iter().all(|name| ["e1", "e4"].contains(&&**name)), "{names:?}");
    assert_eq!(place(&mut dispatch, resuming("v1")), None);
}

#[test]
fn a_stream_whose_build_has_no_engine_is_refused_though_others_are_free() {
    let mut dispatch = dispatch_of(&["v1", "v2"]);
    dispatch.put(NOW, Entry { build: "v1".into(), leaving: true, ..entry(1, true) });

    let refused = dispatch.submit(NOW, resuming("v1"), 0);

    assert!(matches!(refused, Err(Effect::Refuse(..))), "{refused:?}");
}

// Guards against new streams that wait behind one whose build is full.
#[test]
fn a_stream_that_waits_for_its_build_holds_up_no_other() {
    let mut dispatch = dispatch_of(&["v1", "v1", "v2", "v2"]);
    names(&mut dispatch, 6, &resuming("v1"));

    let waiting = dispatch.submit(NOW, resuming("v1"), 1);
    let placed = names(&mut dispatch, 6, &request());

    assert!(waiting.is_ok());
    assert!(placed.iter().all(|name| ["e3", "e4"].contains(&&**name)), "{placed:?}");
}

// Guards against requests that wait with one whose build is full, and are not admitted when there is room again.
#[test]
fn a_request_behind_a_stream_that_waits_for_its_build_is_admitted_first() {
    let mut dispatch = dispatch_of(&["v1", "v2"]);
    let running: Vec<_> = (0..6).map(|_| place(&mut dispatch, request()).unwrap()).collect();
    let waiting = [(resuming("v1"), 1), (patient(), 2)];
    let waiting = waiting.map(|(request, item)| dispatch.submit(NOW, request, item).is_ok());
    let ended = running.iter().find(|placed| decode_name(&dispatch, Some(**placed)) == "e2");

    dispatch.finish_generation(ended.unwrap().generation, true);
    let admitted = dispatch.tick(NOW);

    assert_eq!(waiting, [true, true]);
    assert!(matches!(admitted[..], [Effect::Admit(2, _)]), "{admitted:?}");
}

// Guards against a stream that can't go on in a large fleet, though an engine of its build serves in another cell.
#[test]
fn an_engine_of_another_cell_goes_on_with_a_stream_whose_build_the_own_cell_lacks() {
    let mut dispatch = dispatch_of(&["v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8"]);
    dispatch.set_cell(Cell::of("host-0", 100));
    let in_cell = |n: usize| dispatch.cell().contains(&format!("e{n}"));
    let other = (1..=8).find(|n| !in_cell(*n)).unwrap();
    assert!((1..=8).any(in_cell));

    let placed = place(&mut dispatch, resuming(&format!("v{other}")));

    assert_eq!(decode_name(&dispatch, placed), format!("e{other}"));
}

// Guards against streams that begin where they can't go on: at the first engine of a new build, or the last of an old one.
#[test]
fn a_stream_begins_where_another_engine_could_resume_it_while_there_is_room() {
    let mut dispatch = dispatch_of(&["v1", "v2", "v2"]);

    let names = names(&mut dispatch, 9, &request());

    let (with_another, alone) = names.split_at(6);
    assert!(with_another.iter().all(|name| ["e2", "e3"].contains(&&**name)), "{names:?}");
    assert!(alone.iter().all(|name| name == "e1"), "{names:?}");
}

#[test]
fn streams_begin_at_all_engines_where_each_is_of_another_build() {
    let mut dispatch = dispatch_of(&["v1", "v2", "v3"]);

    let mut names = names(&mut dispatch, 9, &request());

    names.sort();
    names.dedup();
    assert_eq!(names, ["e1", "e2", "e3"]);
}

// Guards against a wait for an engine that is not of the build: it has room, and the stream's first event is due.
#[test]
fn a_stream_waits_for_its_build_no_longer_than_an_urgent_request() {
    let mut dispatch = dispatch_of(&["v1", "v1", "v2", "v2"]);
    names(&mut dispatch, 6, &resuming("v1"));
    let due = NOW + Duration::from_millis(1_500);
    let pinned = Request { first_token_by: Some(due), ..resuming("v1") };

    let waiting: Result<_, Effect<u32>> = dispatch.submit(NOW, pinned, 1);
    let effects = dispatch.tick(due);

    assert!(waiting.is_ok());
    assert!(matches!(effects[..], [Effect::Refuse(1, _)]), "{effects:?}");
}

#[test]
fn builds_are_told_apart_by_their_whole_names() {
    let mut dispatch = dispatch_of(&["v1", "v1.1"]);

    let placed = place(&mut dispatch, resuming("v1.1"));

    let build: Arc<str> = dispatch.entry(placed.unwrap().decode).unwrap().build.clone();
    assert_eq!(&*build, "v1.1");
}
