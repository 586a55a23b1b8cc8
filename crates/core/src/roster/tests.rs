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
                    ..Report::default()
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
    roster.may_spend_until().is_none_or(|until| until > at(millis))
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

    let spend_until = fleet[3].may_spend_until().expect("a time");
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

    assert_eq!(fleet[3].may_spend_until(), Some(at(9_000)));
    assert!(!may_spend(&fleet[3], 30_000));
}

#[test]
fn hosts_in_contact_with_a_majority_go_on_without_the_store() {
    let mut fleet = fleet(5);

    exchange_reports(&mut fleet, (0, 60_000), |to, from| to < 3 && from < 3);

    assert!((0..3).all(|host| may_spend(&fleet[host], 60_000)));
    assert!((3..5).all(|host| !may_spend(&fleet[host], 60_000)));
}

/// Lets the connections that one side of a partition opens to the other be refused, in both directions.
fn refuse_connections(fleet: &mut [Roster], side: std::ops::Range<usize>) {
    for (host, roster) in fleet.iter_mut().enumerate() {
        for other in (0..5).filter(|other| side.contains(other) != side.contains(&host)) {
            roster.record_connection_refused(&name(other));
        }
    }
}

// Guards against a partition that responds with resets: the refused connections counted as contact, so that a host cut
// off from all others never stopped spending.
#[test]
fn a_host_whose_connections_are_all_refused_is_isolated() {
    let mut fleet = fleet(5);

    let newly_refused: Vec<bool> =
        (1..5).map(|other| fleet[0].record_connection_refused(&name(other))).collect();

    assert_eq!(newly_refused, [true; 4]);
    assert!(fleet[0].is_isolated(at(1_500)));
    assert!(!may_spend(&fleet[0], 5_000));
    assert_eq!(fleet[0].steps(at(60_000)), []);
}

// Guards against review/5: two of five hosts are cut off by resets, and nothing is reserved for the other side.
#[test]
fn both_sides_of_a_partition_with_resets_reserve_the_others_shares() {
    let mut fleet = fleet(5);
    exchange_reports(&mut fleet, (0, 500), |_, _| true);

    refuse_connections(&mut fleet, 0..3);
    exchange_reports(&mut fleet, (1_000, 8_000), |to, from| (to < 3) == (from < 3));

    let unreachable: Vec<usize> =
        fleet.iter().map(|roster| roster.unreachable_peers().count()).collect();
    assert_eq!(unreachable, [2, 2, 2, 3, 3]);
    let spending: Vec<bool> = fleet.iter().map(|roster| may_spend(roster, 8_000)).collect();
    assert_eq!(spending, [true, true, true, false, false]);
}

// Guards against the share of a killed host that stays reserved since its address refuses connections.
#[test]
fn a_killed_host_whose_address_refuses_connections_is_removed_as_lost() {
    let mut fleet = fleet(5);
    exchange_reports(&mut fleet, (0, 500), |_, _| true);

    for roster in &mut fleet[..4] {
        roster.record_connection_refused(&name(4));
    }
    exchange_reports(&mut fleet, (1_000, 8_500), without(4));
    let marking = fleet[0].steps(at(8_500));
    fleet[0].record_entry(at(8_500), &name(4), 12, true);
    exchange_reports(&mut fleet, (9_000, 11_500), without(4));

    assert_eq!(marking, [Step::Mark(name(4), 10)]);
    assert_eq!(fleet[0].steps(at(11_500)), [Step::Remove(name(4), 12)]);
}

// Guards against a host that is removed though another one hears it, since only connections to that one are refused.
#[test]
fn a_host_whose_connections_are_refused_one_way_still_vouches_for_others() {
    let mut fleet = fleet(4);
    let only_by_two = |to: usize, from: usize| {
        let pair = (to.min(from), to.max(from));
        pair.1 != 3 || pair.0 == 2
    };
    exchange_reports(&mut fleet, (0, 20_000), only_by_two);

    fleet[0].record_connection_refused(&name(2));

    assert_eq!(fleet[0].steps(at(20_000)), []);
}

// Guards against duties, such as orders, that wait for the timeout of a killed host: these are safe without it.
#[test]
fn duties_pass_at_once_from_a_host_that_refuses_connections() {
    let mut roster = fleet(3).remove(1);
    let report = Report { store_reachable: true, orders_pending: true, ..Report::default() };
    roster.record_report(at(0), &name(0), report);
    let before = (roster.rank(), roster.is_other_host_ordering());

    roster.record_connection_refused(&name(0));

    assert_eq!(before, (1, true));
    assert_eq!((roster.rank(), roster.is_other_host_ordering()), (0, false));
}

// Guards against shares that stay reserved when half of the hosts are killed for good. The other half, if it were alive,
// would have no majority either and would have stopped, or written its entries again.
#[test]
fn half_of_the_hosts_removes_the_other_half_while_the_store_confirms_it() {
    let mut fleet = fleet(4);
    let halves = |to: usize, from: usize| (to < 2) == (from < 2);

    exchange_reports(&mut fleet, (0, 9_000), halves);
    let unconfirmed = fleet[0].steps(at(9_000));
    fleet[0].record_confirmation(at(8_500));

    assert_eq!(unconfirmed, []);
    assert_eq!(fleet[0].steps(at(9_000)), [Step::Mark(name(2), 10), Step::Mark(name(3), 10)]);
    assert!(!may_spend(&fleet[2], 9_000));
}

// Guards against a host that has ended, or was only named by others, and is named on and on.
#[test]
fn only_hosts_that_are_heard_are_named_and_for_long_only_to_new_connections() {
    let mut fleet = fleet(4);
    fleet[0].add_peer(at(0), &"unheard".into());
    exchange_reports(&mut fleet, (500, 2_000), without(3));
    let naming = Duration::from_secs(5);
    let named_at_first = fleet[0].heard_peers(at(2_000), Some(naming));
    exchange_reports(&mut fleet, (2_500, 8_000), |to, from| without(3)(to, from) && from != 2);
    fleet[0].record_connection_refused(&name(2));

    assert_eq!(named_at_first, [name(1), name(2)]);
    assert_eq!(fleet[0].heard_peers(at(8_000), Some(naming)), []);
    assert_eq!(fleet[0].heard_peers(at(8_000), None), [name(1)]);
}

// Guards against a peer's outdated knowledge that displaces a process which this host hears.
#[test]
fn a_named_process_replaces_a_known_one_only_if_that_is_not_heard() {
    let mut fleet = fleet(3);
    exchange_reports(&mut fleet, (0, 500), |_, _| true);
    let accepts = |roster: &Roster, known| roster.accepts_named(&name(1), 2, known);

    let unknown = accepts(&fleet[0], None);
    let same = accepts(&fleet[0], Some(2));
    let other_heard = accepts(&fleet[0], Some(1));
    fleet[0].check_timeouts(at(2_500));
    let other_unheard = accepts(&fleet[0], Some(1));

    assert_eq!((unknown, same, other_heard, other_unheard), (true, false, false, true));
    assert!(!fleet[0].accepts_named(&name(0), 2, None));
}

// Guards against removal by a minority: the majority goes on spending without the store.
#[test]
fn less_than_half_of_the_hosts_removes_nobody() {
    let mut fleet = fleet(5);

    exchange_reports(&mut fleet, (0, 9_000), |to, from| (to < 2) == (from < 2));
    fleet[0].record_confirmation(at(8_500));

    assert_eq!(fleet[0].steps(at(9_000)), []);
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

// Guards against a host that stood still, and takes what it then reads of its peers for what they say now.
#[test]
fn reports_that_are_read_late_count_from_when_they_were_sent() {
    let mut roster = Roster::new(name(0), Settings::default());
    roster.add_peer(at(0), &name(1));
    let mut record = |now, sent| {
        let report =
            Report { incarnation: 1, uptime: Duration::from_millis(sent), ..Report::default() };
        roster.record_report(at(now), &name(1), report);
        roster.quorum_sent_at(at(now), at(now))
    };

    // The delay of the first report is not known, nor that of those read at the same time.
    assert_eq!([0, 500, 1_000].map(|sent| record(3_000, sent)), [None; 3]);
    assert_eq!(record(3_100, 3_000), None);
    assert_eq!(record(3_600, 3_500), Some(at(3_600)));
    // The host stands still, and reads the reports of the time one after the other.
    assert_eq!(
        [4_000, 4_500].map(|sent| record(9_000, sent)),
        [4_100, 4_600].map(|sent| Some(at(sent)))
    );
}

// Guards against clocks that drift: after hours, all reports of a peer would count as sent too long ago to confirm anything.
#[test]
fn reports_count_as_sent_when_they_arrive_though_clocks_have_drifted_for_hours() {
    for drift_per_million in [-200, 200] {
        let mut roster = Roster::new(name(0), Settings::default());
        roster.add_peer(at(0), &name(1));
        let mut longest = Duration::ZERO;
        for now in (0..4 * 3_600_000_i64).step_by(HEARTBEAT_MS as usize) {
            let uptime_us = 10_000_000 + now * 1_000 + now * drift_per_million / 1_000;
            let uptime = Duration::from_micros(uptime_us as u64);
            let now = now as u64;

            roster.record_report(at(now), &name(1), Report { uptime, ..Report::default() });

            if now >= 2 * HEARTBEAT_MS {
                let sent_at =
                    roster.quorum_sent_at(at(now), at(now)).expect("a report that counts");
                longest = longest.max(at(now).since(sent_at));
            }
        }
        assert!(longest < Duration::from_millis(100), "{drift_per_million}: {longest:?}");
    }
}

// Guards against a host that stood still for minutes, and measures the delay of reports anew by those that it then reads late.
#[test]
fn reports_that_are_read_after_minutes_do_not_count_as_sent_then() {
    let mut roster = Roster::new(name(0), Settings::default());
    roster.add_peer(at(0), &name(1));
    let mut record = |now, sent| {
        let uptime = Duration::from_millis(sent);
        roster.record_report(at(now), &name(1), Report { uptime, ..Report::default() });
        roster.quorum_sent_at(at(now), at(now))
    };
    let before = [0, 500, 1_000].map(|sent| record(sent, sent))[2];

    let late = [1_500, 2_000, 2_500].map(|sent| record(200_000, sent));

    assert_eq!(before, Some(at(1_000)));
    assert!(late.iter().all(|sent_at| *sent_at <= Some(at(2_500))), "{late:?}");
    // Reports that arrive as they are sent count again.
    assert_eq!([200_000, 200_500].map(|sent| record(sent, sent))[1], Some(at(200_500)));
}
