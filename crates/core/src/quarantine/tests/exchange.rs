//! What hosts learn from each other and from the store.

use super::{
    START, broken, exchange_reports, held, hold_bad_part, is_refused, millis, parts, pattern,
    record_sound,
};
use crate::quarantine::{Pattern, Quarantine};
use chestnutrack_wire::frame::Break;
use std::time::Duration;

/// Time within which a pattern can be adopted long before it leaves quarantine.
const HOLD: Duration = Duration::from_secs(300);

#[test]
fn crashes_at_several_hosts_are_put_together_and_all_refuse_the_part() {
    let mut hosts = [Quarantine::default(), Quarantine::default(), Quarantine::default()];

    for n in 0..4 {
        let now = START + millis(100 * n);
        hosts[n as usize % 3].record_break(now, broken(n, n, &["bad"]));
        exchange_reports(now, &mut hosts);
    }
    for host in &mut hosts {
        host.poll(START + millis(400));
    }

    assert!(hosts.iter().all(|host| is_refused(host, START + millis(400), &["bad"])));
}

// Guards against holding a sound part when the hosts that know of its sound answers have just ended or restarted.
#[test]
fn sound_answers_at_a_peer_count_though_the_peer_has_restarted() {
    for is_restarted in [false, true] {
        let (mut host, mut peer) = (Quarantine::default(), Quarantine::default());
        record_sound(&mut peer, START, 5, &["sound"]);
        for n in 0..4 {
            let (now, answer) = (START + millis(100 * n), broken(n, n, &["sound"]));
            host.record_break(now, answer.clone());
            peer.record_break(now, answer);
            host.record_report(now, &"peer".into(), peer.report(now));
        }
        if is_restarted {
            let report = Quarantine::default().report(START + millis(310));
            host.record_report(START + millis(310), &"peer".into(), report);
        }

        let new = host.poll(START + millis(400));

        assert_eq!(new, Vec::<Pattern>::new());
    }
}

#[test]
fn sound_answers_at_a_peer_do_not_count_for_crashes_long_after() {
    let (mut host, mut peer) = (Quarantine::default(), Quarantine::default());
    record_sound(&mut peer, START, 5, &["part"]);
    for engine in 100..102 {
        peer.record_break(START, broken(engine, engine, &["part"]));
    }
    host.record_report(START, &"peer".into(), peer.report(START));

    let later = START + Duration::from_secs(70);
    for n in 0..4 {
        host.record_break(later + millis(100 * n), broken(n, n, &["part"]));
    }

    assert_eq!(host.poll(later + millis(400)), [pattern(&["part"])]);
}

#[test]
fn a_report_holds_own_breaks_of_the_last_seconds_those_that_had_just_begun_first() {
    let (mut host, mut peer) = (Quarantine::default(), Quarantine::default());
    peer.record_break(START, broken(7, 7, &["peer's"]));
    host.record_report(START, &"peer".into(), peer.report(START));
    for n in 0..20 {
        let victim = Break { written_ms: 500 + n, ..broken(1, n.into(), &["victim"]) };
        host.record_break(START, victim);
    }
    host.record_break(START, broken(1, 99, &["bad"]));

    let report = host.report(START + millis(1_900));
    let later = host.report(START + millis(2_100));

    assert_eq!((report.breaks.len(), later.breaks.len()), (16, 0));
    assert_eq!(report.breaks[0], (1_900, broken(1, 99, &["bad"])));
    assert!(report.breaks.iter().all(|(_, answer)| *answer.engine == *"engine-1"));
}

#[test]
fn breaks_that_a_peer_reports_count_from_when_they_happened() {
    let (mut host, mut peer) = (Quarantine::default(), Quarantine::default());
    for n in 0..4 {
        peer.record_break(START + millis(30 * n), broken(n, n, &["bad"]));
    }

    // All arrive in one report. Without their ages they would be simultaneous.
    let now = START + millis(1_000);
    host.record_report(now, &"peer".into(), peer.report(now));

    assert_eq!(host.poll(now + millis(60)), [pattern(&["bad"])]);
}

#[test]
fn a_host_that_learns_of_a_pattern_refuses_it_and_passes_it_on() {
    let mut first = Quarantine::default();
    let (mut second, mut third) = (Quarantine::default(), Quarantine::default());
    hold_bad_part(&mut first);
    let later = START + millis(30_000);

    let new = second.record_report(later, &"first".into(), first.report(later));
    let again = second.record_report(later, &"first".into(), first.report(later));
    third.record_report(later, &"second".into(), second.report(later));

    assert_eq!((new.held, again.held), (vec![pattern(&["bad"])], vec![]));
    assert!(is_refused(&third, later, &["bad"]));
}

#[test]
fn a_pattern_that_one_host_releases_is_released_by_all_and_not_adopted_again() {
    let mut hosts = [Quarantine::default(), Quarantine::default(), Quarantine::default()];
    hold_bad_part(&mut hosts[0]);
    exchange_reports(START + millis(400), &mut hosts);
    let stale = hosts[1].report(START + millis(400));

    hosts[2].release(START + millis(1_000), &pattern(&["bad"]));
    exchange_reports(START + millis(1_000), &mut hosts);
    hosts[0].record_report(START + millis(1_100), &"host-1".into(), stale);

    assert!(hosts.iter().all(|host| !is_refused(host, START + millis(1_200), &["bad"])));
}

#[test]
fn a_release_revokes_the_decisions_of_hosts_that_decided_independently() {
    let mut hosts = [Quarantine::default(), Quarantine::default()];
    hosts[0].hold(START, &held(&["bad"], HOLD, 1));
    hosts[1].hold(START, &held(&["bad"], HOLD, 2));
    let unaware = hosts[1].report(START);
    exchange_reports(START, &mut hosts);

    hosts[0].release(START + millis(1_000), &pattern(&["bad"]));
    exchange_reports(START + millis(1_000), &mut hosts);
    hosts[0].record_report(START + millis(3_000), &"host-1".into(), unaware);

    assert!(hosts.iter().all(|host| !is_refused(host, START + millis(3_000), &["bad"])));
}

#[test]
fn a_decision_after_a_release_is_adopted() {
    let (mut host, mut peer) = (Quarantine::default(), Quarantine::default());
    host.hold(START - millis(5_000), &held(&["bad"], HOLD, 7));
    host.release(START - millis(1_000), &pattern(&["bad"]));
    hold_bad_part(&mut peer);
    let now = START + millis(400);

    let changes = host.record_report(now, &"peer".into(), peer.report(now));

    assert_eq!(changes.held, [pattern(&["bad"])]);
}

#[test]
fn hosts_do_not_prolong_a_pattern_that_leaves_quarantine() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    hold_bad_part(&mut first);
    let adopted_at = START + millis(400);
    second.record_report(adopted_at, &"first".into(), first.report(adopted_at));
    let left = first.time_left(adopted_at, &parts(&["bad"])).unwrap();

    // The second host keeps it for a moment longer, and reports it to the first.
    let ended_at = adopted_at + left;
    let late = second.report(ended_at - millis(20));
    let changes = first.record_report(ended_at + millis(10), &"second".into(), late);

    assert_eq!(changes.held, [] as [Pattern; 0]);
}

#[test]
fn an_adopted_pattern_returns_for_twice_its_whole_time() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    hold_bad_part(&mut first);
    let adopted_at = START + millis(100_000);
    second.record_report(adopted_at, &"first".into(), first.report(adopted_at));
    let again_at = START + HOLD + millis(1_000);

    for n in 0..4 {
        let id = 100 + n;
        let answer = broken(id, id, &["bad"]);
        super::crash(&mut second, again_at + millis(100 * n), vec![answer]);
    }

    let left = second.time_left(again_at + millis(350), &parts(&["bad"]));
    assert_eq!(left, Some(HOLD * 2));
}

// Guards against holding a part because a peer's connections were reset, at engines that the peer then finds alive.
#[test]
fn an_engine_that_answers_a_peer_again_has_not_crashed() {
    let (mut host, mut peer) = (Quarantine::default(), Quarantine::default());

    let mut new = Vec::new();
    for n in 0..4 {
        let at = START + millis(200 * n);
        peer.record_break(at, broken(n, n, &["sound"]));
        host.record_report(at, &"peer".into(), peer.report(at));
        peer.record_alive(&format!("engine-{n}").into(), Some(1), at + millis(10));
        host.record_report(at + millis(20), &"peer".into(), peer.report(at + millis(20)));
        new.extend(host.poll(at + millis(100)));
    }

    assert_eq!(new, [] as [Pattern; 0]);
}
