//! Fair waiting between organisations, and interactive requests before those that may wait.

use super::ask::{decode, reserve};
use super::model::World;
use chestnutrack_core::server::Settings;
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::Reserve;
use chestnutrack_wire::{Attempt, Frame, Request};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::collections::HashMap;

/// Largest request of the fairness test, in tokens.
const LARGEST: u32 = 500;

/// Asks for a slot; requests of organisation `n` are numbered from `n * 1000`.
fn ask(world: &mut World, organisation: u128, number: u128, ask: Reserve) {
    let request = Request(organisation * 1_000 + number);
    world.frame(0, Frame::Reserve(request, Attempt(1), ask));
}

/// Ends every granted request, so that the next are granted; returns them in their order.
fn drain(world: &mut World, grants: usize) -> Vec<Request> {
    let mut done = 0;
    while done < grants {
        let granted = world.reserved();
        if granted.len() == done {
            break;
        }
        for request in &granted[done..] {
            world.frame(0, Frame::Decode(*request, Attempt(1), decode(1)));
            world.frame(0, Frame::Cancel(*request, Attempt(1)));
        }
        done = granted.len();
        world.settle();
    }
    world.reserved()
}

fn shares(world: &mut World, sizes: &[(u8, u32)]) -> HashMap<u128, u64> {
    let mut cost: HashMap<Request, u64> = HashMap::new();
    for (number, (organisation, size)) in sizes.iter().enumerate() {
        let organisation = u128::from(*organisation);
        let number = u128::try_from(number).unwrap();
        let name = format!("organisation-{organisation}");
        let wanted = reserve(&name, *size, 60_000);
        cost.insert(Request(organisation * 1_000 + number), u64::from(size / 2) * 2);
        ask(world, organisation, number, wanted);
    }
    let granted = drain(world, sizes.len() / 2);
    let mut shares = HashMap::new();
    for request in granted.iter().take(sizes.len() / 2) {
        *shares.entry(request.0 / 1_000).or_default() += cost[request];
    }
    shares
}

fn organisations_with_work_share_evenly(seeds: Vec<u16>) -> TestResult {
    let mut world = World::new(Role::Decode);
    let size = |seed: &u16| 10 + u32::from(*seed) % (LARGEST - 10);
    let sizes: Vec<_> = seeds.iter().flat_map(|seed| [(1, size(seed)), (2, size(seed))]).collect();
    if sizes.len() < 8 {
        return TestResult::discard();
    }

    let shares = shares(&mut world, &sizes);

    let (one, two) = (shares.get(&1).unwrap_or(&0), shares.get(&2).unwrap_or(&0));
    // The first grants fill the empty server; later ones differ by one request at most.
    let bound = u64::from(LARGEST) * 4;
    if one.abs_diff(*two) <= bound {
        TestResult::passed()
    } else {
        TestResult::error(format!("{one} and {two} tokens"))
    }
}

#[test]
fn organisations_that_wait_share_evenly() {
    let property: fn(Vec<u16>) -> TestResult = organisations_with_work_share_evenly;
    let lists = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().tests(100).rng(lists).quickcheck(property);
}

#[test]
fn a_flood_of_one_organisation_does_not_delay_another() {
    let mut world = World::new(Role::Decode);
    for number in 0..200 {
        ask(&mut world, 1, number, reserve("flood", 200, 60_000));
    }
    ask(&mut world, 2, 0, reserve("orchard-stand", 200, 60_000));

    let granted = drain(&mut world, 8);

    let place = granted.iter().position(|request| *request == Request(2_000));
    assert!(place.is_some_and(|place| place <= 4), "{place:?}");
}

#[test]
fn requests_that_may_wait_are_not_starved() {
    let mut world = World::new(Role::Decode);
    let patient = Reserve { may_wait: true, ..reserve("dairy-coop", 200, 60_000) };
    for number in 0..3 {
        ask(&mut world, 1, number, reserve("dairy-coop", 200, 60_000));
    }
    ask(&mut world, 1, 3, patient);
    for number in 4..60 {
        ask(&mut world, 1, number, reserve("dairy-coop", 200, 60_000));
    }

    let granted = drain(&mut world, 40);

    let place = granted.iter().position(|request| *request == Request(1_003)).unwrap();
    let run = Settings::default().interactive_run_max as usize;
    assert_eq!(place, 3 + run, "after the interactive ones that may pass it, and no later");
}

#[test]
fn an_organisation_is_charged_for_what_it_used() {
    let mut world = World::new(Role::Decode);
    // Both use as much; the first asks for answers far longer than those that it gets.
    let long = Reserve { output_tokens: 400, ..reserve("short-answers", 100, 60_000) };
    let exact = Reserve { output_tokens: 1, ..reserve("exact", 100, 60_000) };
    for number in 0..30 {
        ask(&mut world, 1, number, long.clone());
        ask(&mut world, 2, number, exact.clone());
    }

    let mut done = 0;
    while done < 30 {
        let granted = world.reserved();
        for request in &granted[done..] {
            world.frame(0, Frame::Decode(*request, Attempt(1), decode(1)));
            world.settle();
            world.step(0, false);
            world.step(0, true);
        }
        done = granted.len();
    }

    let first = world.reserved()[..30].iter().filter(|request| request.0 < 2_000).count();
    assert!((13..=17).contains(&first), "{first} of 30");
}

#[test]
fn an_organisation_may_not_fill_the_queue() {
    let mut world = World::new(Role::Decode);
    let limit = u128::try_from(Settings::default().waiting_per_organisation).unwrap();

    for number in 0..limit + 10 {
        ask(&mut world, 1, number, reserve("flood", 600, 60_000));
    }

    assert_eq!(world.failures().len(), 10 - world.reserved().len());
    assert_eq!(world.server.load(world.now).waiting as u128, limit);
}
