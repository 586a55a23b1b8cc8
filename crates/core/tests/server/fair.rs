//! Fair scheduling between organisations, and of interactive requests before those that may wait.

use super::payload::{decode, reserve};
use super::world::World;
use chestnutrack_core::server::Settings;
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::Reserve;
use chestnutrack_wire::{Attempt, Frame, Request};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::collections::HashMap;

/// Size of the largest request in the fairness test, in tokens.
const LARGEST_TOKENS: u32 = 500;

/// Requests a slot; the requests of organisation `n` are numbered from `n * 1000`.
fn request_slot(world: &mut World, organisation: u128, number: u128, payload: Reserve) {
    let request = Request(organisation * 1_000 + number);
    world.send(0, Frame::Reserve(request, Attempt(1), payload));
}

/// Ends granted requests, so that the next ones are granted, until `grants` have ended or nothing
/// is granted. Returns all granted requests in order.
fn finish_granted(world: &mut World, grants: usize) -> Vec<Request> {
    let mut finished = 0;
    while finished < grants {
        let granted = world.reserved();
        if granted.len() == finished {
            break;
        }
        for request in &granted[finished..] {
            world.send(0, Frame::Decode(*request, Attempt(1), decode(1)));
            world.send(0, Frame::Cancel(*request, Attempt(1)));
        }
        finished = granted.len();
        world.settle();
    }
    world.reserved()
}

fn shares(world: &mut World, sizes: &[(u8, u32)]) -> HashMap<u128, u64> {
    let mut costs: HashMap<Request, u64> = HashMap::new();
    for (number, (organisation, size)) in sizes.iter().enumerate() {
        let organisation = u128::from(*organisation);
        let number = u128::try_from(number).unwrap();
        let name = format!("organisation-{organisation}");
        let payload = reserve(&name, *size, 60_000);
        costs.insert(Request(organisation * 1_000 + number), u64::from(size / 2) * 2);
        request_slot(world, organisation, number, payload);
    }
    let granted = finish_granted(world, sizes.len() / 2);
    let mut shares = HashMap::new();
    for request in granted.iter().take(sizes.len() / 2) {
        *shares.entry(request.0 / 1_000).or_default() += costs[request];
    }
    shares
}

fn organisations_with_work_share_evenly(seeds: Vec<u16>) -> TestResult {
    let mut world = World::new(Role::Decode);
    let size = |seed: &u16| 10 + u32::from(*seed) % (LARGEST_TOKENS - 10);
    let sizes: Vec<_> = seeds.iter().flat_map(|seed| [(1, size(seed)), (2, size(seed))]).collect();
    if sizes.len() < 8 {
        return TestResult::discard();
    }

    let shares = shares(&mut world, &sizes);

    let (one, two) = (shares.get(&1).unwrap_or(&0), shares.get(&2).unwrap_or(&0));
    // The first grants fill the empty server; after that, the shares differ by at most one request.
    let bound = u64::from(LARGEST_TOKENS) * 4;
    if one.abs_diff(*two) <= bound {
        TestResult::passed()
    } else {
        TestResult::error(format!("{one} and {two} tokens"))
    }
}

#[test]
fn organisations_that_wait_share_evenly() {
    let property: fn(Vec<u16>) -> TestResult = organisations_with_work_share_evenly;
    let generator = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().tests(100).rng(generator).quickcheck(property);
}

#[test]
fn a_flood_of_one_organisation_does_not_delay_another() {
    let mut world = World::new(Role::Decode);
    for number in 0..200 {
        request_slot(&mut world, 1, number, reserve("flood", 200, 60_000));
    }
    request_slot(&mut world, 2, 0, reserve("orchard-stand", 200, 60_000));

    let granted = finish_granted(&mut world, 8);

    let position = granted.iter().position(|request| *request == Request(2_000));
    assert!(position.is_some_and(|position| position <= 4), "{position:?}");
}

#[test]
fn requests_that_may_wait_are_not_starved() {
    let mut world = World::new(Role::Decode);
    let deferrable = Reserve { may_wait: true, ..reserve("dairy-coop", 200, 60_000) };
    for number in 0..3 {
        request_slot(&mut world, 1, number, reserve("dairy-coop", 200, 60_000));
    }
    request_slot(&mut world, 1, 3, deferrable);
    for number in 4..60 {
        request_slot(&mut world, 1, number, reserve("dairy-coop", 200, 60_000));
    }

    let granted = finish_granted(&mut world, 40);

    let position = granted.iter().position(|request| *request == Request(1_003)).unwrap();
    let run = Settings::default().interactive_run_max as usize;
    assert_eq!(
        position,
        3 + run,
        "granted after the interactive requests that may overtake it, and no later"
    );
}

#[test]
fn an_organisation_is_charged_for_what_it_used() {
    let mut world = World::new(Role::Decode);
    // Both organisations use the same number of tokens; the first reserves far longer answers than
    // it gets.
    let long = Reserve { output_tokens: 400, ..reserve("short-answers", 100, 60_000) };
    let exact = Reserve { output_tokens: 1, ..reserve("exact", 100, 60_000) };
    for number in 0..30 {
        request_slot(&mut world, 1, number, long.clone());
        request_slot(&mut world, 2, number, exact.clone());
    }

    let mut finished = 0;
    while finished < 30 {
        let granted = world.reserved();
        for request in &granted[finished..] {
            world.send(0, Frame::Decode(*request, Attempt(1), decode(1)));
            world.settle();
            world.advance_stream(0, false);
            world.advance_stream(0, true);
        }
        finished = granted.len();
    }

    let first = world.reserved()[..30].iter().filter(|request| request.0 < 2_000).count();
    assert!((13..=17).contains(&first), "{first} of 30");
}

#[test]
fn an_organisation_may_not_fill_the_queue() {
    let mut world = World::new(Role::Decode);
    let limit = u128::try_from(Settings::default().waiting_per_organisation).unwrap();

    for number in 0..limit + 10 {
        request_slot(&mut world, 1, number, reserve("flood", 600, 60_000));
    }

    assert_eq!(world.failures().len(), 10 - world.reserved().len());
    assert_eq!(world.server.load(world.now).waiting as u128, limit);
}
