//! Hosts that are lost, isolated or paused.

use super::{Report, Roster, Settings, Step};
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

const SETTINGS: Settings = Settings {
    unreachable_after: Duration::from_millis(1_500),
    isolation_grace: Duration::from_millis(5_000),
    confirmation_lease: Duration::from_millis(2_000),
    lost_after: Duration::from_millis(7_500),
    removal_delay: Duration::from_millis(3_000),
};
/// Time between two reports of a host, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn name(host: usize) -> Arc<str> {
    format!("host-{host}").into()
}

/// Creates the rosters of a fleet whose hosts know each other and have entries in the store.
fn fleet(hosts: usize) -> Vec<Roster> {
    let roster = |host: usize| {
        let mut roster = Roster::new(name(host), SETTINGS);
        for other in (0..hosts).filter(|other| *other != host) {
            roster.add_peer(at(0), &name(other));
            roster.record_entry(at(0), &name(other), 10, false);
        }
        roster
    };
    (0..hosts).map(roster).collect()
}

/// Exchanges reports from one time to another, in milliseconds. A report is received where
/// `delivers(to, from)` holds.
fn exchange_reports(
    fleet: &mut [Roster],
    millis: (u64, u64),
    delivers: impl Fn(usize, usize) -> bool,
) {
    for millis in (millis.0..=millis.1).step_by(HEARTBEAT_MS as usize) {
        let now = at(millis);
        let reports: Vec<Report> = fleet
            .iter_mut()
            .map(|roster| {
                roster.check_timeouts(now);
                Report {
                    store_reachable: true,
                    draining: false,
                    unreachable_hosts: roster.unreachable_durations(now),
                    orders_pending: false,
                }
            })
            .collect();
        for (to, roster) in fleet.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if from != to && delivers(to, from) {
                    roster.record_report(now, &name(from), report.clone());
                }
            }
        }
    }
}

fn may_spend(roster: &Roster, millis: u64) -> bool {
    roster.may_spend_until(at(millis)).is_none_or(|until| until > at(millis))
}

fn without(lost: usize) -> impl Fn(usize, usize) -> bool {
    move |to, from| to != lost && from != lost
}

#[test]
fn a_host_that_nobody_can_reach_is_marked_and_then_removed() {
    let mut fleet = fleet(4);

    exchange_reports(&mut fleet, (0, 6_000), without(3));
    let early_steps = fleet[0].steps(at(6_000));
    exchange_reports(&mut fleet, (6_500, 8_500), without(3));
    let marking = fleet[0].steps(at(8_500));
    fleet[0].record_entry(at(9_000), &name(3), 12, true);
    exchange_reports(&mut fleet, (9_000, 11_500), without(3));
    let steps_while_marked = fleet[0].steps(at(11_500));
    exchange_reports(&mut fleet, (12_000, 12_500), without(3));
    let removal = fleet[0].steps(at(12_500));

    assert_eq!((early_steps, steps_while_marked), (vec![], vec![]));
    assert_eq!(marking, [Step::Mark(name(3), 10)]);
    assert_eq!(removal, [Step::Remove(name(3), 12)]);
}

#[test]
fn only_the_first_host_that_the_store_answers_removes_others() {
    let mut fleet = fleet(4);

    exchange_reports(&mut fleet, (0, 10_000), without(3));

    let steps: Vec<usize> = fleet.iter().map(|roster| roster.steps(at(10_000)).len()).collect();
    assert_eq!(steps[..3], [1, 0, 0]);
}

#[test]
fn a_host_that_another_can_still_reach_is_not_lost() {
    let mut fleet = fleet(4);
    let only_by_two = |to: usize, from: usize| {
        let pair = (to.min(from), to.max(from));
        pair.1 != 3 || pair.0 == 2
    };

    exchange_reports(&mut fleet, (0, 20_000), only_by_two);

    assert_eq!(fleet[0].steps(at(20_000)), []);
}

#[test]
fn a_new_mark_restarts_the_removal_delay() {
    let mut fleet = fleet(4);
    exchange_reports(&mut fleet, (0, 9_000), without(3));

    fleet[0].record_entry(at(9_000), &name(3), 12, true);
    fleet[0].record_entry(at(11_000), &name(3), 14, true);
    exchange_reports(&mut fleet, (9_500, 12_500), without(3));

    assert_eq!(fleet[0].steps(at(12_500)), []);
}

#[test]
fn an_isolated_host_stops_spending_before_the_others_take_its_share() {
    let mut fleet = fleet(4);

    exchange_reports(&mut fleet, (0, 500), |_, _| true);
    exchange_reports(&mut fleet, (1_000, 8_500), without(3));

    let spend_until = fleet[3].may_spend_until(at(8_500)).expect("a time");
    let marked_at_ms = (1_000..=20_000u64).step_by(HEARTBEAT_MS as usize).find(|millis| {
        exchange_reports(&mut fleet, (*millis, *millis), without(3));
        !fleet[0].steps(at(*millis)).is_empty()
    });
    assert!(
        spend_until <= at(marked_at_ms.expect("it is marked")),
        "{spend_until:?} {marked_at_ms:?}"
    );
}

#[test]
fn a_host_that_others_can_not_reach_stops_spending_though_it_receives_their_reports() {
    let mut fleet = fleet(4);

    exchange_reports(&mut fleet, (0, 10_000), |_, from| from != 3);

    assert!(fleet[3].is_isolated(at(10_000)));
    assert!(!may_spend(&fleet[3], 10_000));
}

#[test]
fn an_isolated_host_goes_on_while_the_store_confirms_it_and_stops_after_a_pause() {
    let mut fleet = fleet(4);

    exchange_reports(&mut fleet, (0, 500), |_, _| true);
    fleet[3].record_confirmation(at(7_000));

    assert_eq!(fleet[3].may_spend_until(at(8_500)), Some(at(9_000)));
    assert!(!may_spend(&fleet[3], 30_000));
}

#[test]
fn hosts_in_contact_with_a_majority_go_on_without_the_store() {
    let mut fleet = fleet(5);

    exchange_reports(&mut fleet, (0, 60_000), |to, from| to < 3 && from < 3);

    assert!((0..3).all(|host| may_spend(&fleet[host], 60_000)));
    assert!((3..5).all(|host| !may_spend(&fleet[host], 60_000)));
}

#[test]
fn a_host_whose_peers_processes_are_gone_is_not_isolated() {
    let mut fleet = fleet(5);

    let newly_refused: Vec<bool> =
        (1..5).map(|other| fleet[0].record_connection_refused(&name(other))).collect();

    assert_eq!(newly_refused, [true; 4]);
    assert!(!fleet[0].is_isolated(at(60_000)));
    assert_eq!(fleet[0].steps(at(60_000)), []);
}

#[test]
fn neither_of_two_hosts_stops_or_is_removed() {
    let mut fleet = fleet(2);

    exchange_reports(&mut fleet, (0, 60_000), |_, _| false);

    assert!(may_spend(&fleet[0], 60_000));
    assert_eq!(fleet[0].steps(at(60_000)), []);
}

#[test]
fn the_recovery_of_a_hosts_store_is_reported_once() {
    let mut roster = fleet(3).remove(0);
    let report = |store_reachable: bool| Report { store_reachable, ..Report::default() };

    let recoveries = [true, true, false, true]
        .map(|store_reachable| roster.record_report(at(0), &name(1), report(store_reachable)));

    assert_eq!(
        recoveries.map(|recovery| recovery.store_reachable_again),
        [true, false, false, true]
    );
}

#[test]
fn orders_are_left_to_a_reachable_host_that_is_about_to_send_them() {
    // After all hosts were killed, three of them found the same change due. For fifteen seconds, each took
    // the lease from the previous one while that one was waiting.
    let mut roster = fleet(3).remove(0);
    let report = |orders_pending: bool| Report {
        store_reachable: true,
        orders_pending,
        ..Report::default()
    };

    roster.record_report(at(0), &name(1), report(true));
    let while_pending = roster.is_other_host_ordering();
    roster.check_timeouts(at(2_000));
    let while_unreachable = roster.is_other_host_ordering();
    roster.record_report(at(2_500), &name(1), report(false));

    assert_eq!(
        (while_pending, while_unreachable, roster.is_other_host_ordering()),
        (true, false, false)
    );
}

#[test]
fn a_host_that_shuts_down_leaves_its_duties_to_the_next() {
    // All hosts were stopped and started in turn. The first by name had seven seconds of its
    // shutdown left, and the second waited for it to order a change that was due.
    let mut roster = fleet(3).remove(1);
    let report = |draining| Report { store_reachable: true, draining, ..Report::default() };

    roster.record_report(at(0), &name(0), report(false));
    let before = roster.rank();
    roster.record_report(at(500), &name(0), report(true));

    assert_eq!((before, roster.rank()), (1, 0));
}
