use super::ledger::{PROCESSES_MAX, RETENTION};
use super::window::Window;
use super::{Account, Allowances, Purpose, Refusal, Report, Settings, Spent};
use crate::limit::Quota;
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

const RATE: u64 = 1_000;

fn at(seconds: u64) -> Instant {
    Instant::from_millis(100_000 + seconds * 1_000)
}

fn organisation() -> Arc<str> {
    "orchard".into()
}

fn quotas(rate: u64) -> Vec<Quota> {
    vec![Quota { name: organisation(), rate, burst: rate }]
}

/// A host at the fleet's first start, so that its bucket is full.
fn host() -> Allowances {
    let mut host = Allowances::new(at(0), true, Settings::default());
    host.configure(at(0), &quotas(RATE));
    host
}

/// A report of a peer that started at the same time as this host.
fn report(incarnation: u64, tokens: i64) -> Report {
    Report { incarnation, age: Duration::ZERO, spent: Spent::from([(organisation(), tokens)]) }
}

#[test]
fn burst_and_then_rate_can_be_spent_and_no_more() {
    let mut host = host();

    let at_once = host.debit(at(0), &organisation(), RATE);
    let excess = host.debit(at(0), &organisation(), 1);
    let later = host.debit(at(1), &organisation(), RATE);

    assert_eq!(at_once, Ok(()));
    let (rate, burst) = (RATE as f64, RATE as f64);
    let retry_after = Duration::from_millis(100);
    assert_eq!(
        excess,
        Err(Refusal { remaining: 0, rate, burst, reserved_share: 0.0, retry_after })
    );
    assert_eq!(later, Ok(()));
}

#[test]
fn an_isolated_host_stops_spending_in_time_and_asks_callers_to_retry_soon() {
    let mut host = host();

    host.set_spend_until(Some(at(5)));
    let debit_in_time = host.debit(at(4), &organisation(), 10);
    let late_debit = host.debit(at(5), &organisation(), 10);
    host.set_spend_until(Some(at(9)));

    assert_eq!(debit_in_time, Ok(()));
    let refusal = late_debit.expect_err("it may spend nothing");
    assert_eq!((refusal.reserved_share, refusal.retry_after), (1.0, Duration::from_secs(1)));
    assert_eq!(host.debit(at(6), &organisation(), 10), Ok(()));
}

#[test]
fn a_peers_spending_is_debited_here_too_and_only_once() {
    let mut host = host();

    host.record_report(at(0), &"peer".into(), report(1, 600));
    host.record_report(at(0), &"peer".into(), report(1, 600));

    assert_eq!(host.debit(at(0), &organisation(), 400), Ok(()));
    assert!(host.debit(at(0), &organisation(), 1).is_err());
}

#[test]
fn the_spending_of_a_restarted_peer_counts_from_zero() {
    let mut host = host();
    host.record_report(at(0), &"peer".into(), report(1, 600));

    host.record_report(at(0), &"peer".into(), report(2, 100));

    assert_eq!(host.debit(at(0), &organisation(), 300), Ok(()));
    assert!(host.debit(at(0), &organisation(), 1).is_err());
}

#[test]
fn a_host_that_joins_a_running_fleet_is_not_charged_for_earlier_spending() {
    let mut host = Allowances::new(at(0), false, Settings::default());
    host.configure(at(0), &quotas(RATE));
    let first_report = Report { age: Duration::from_secs(60), ..report(1, 1_000_000) };
    host.record_report(at(0), &"peer".into(), first_report);

    let later_report = Report { age: Duration::from_secs(61), ..report(1, 1_000_400) };
    host.record_report(at(1), &"peer".into(), later_report);

    assert_eq!(host.debit(at(1), &organisation(), 600), Ok(()));
    assert!(host.debit(at(1), &organisation(), 1).is_err());
}

#[test]
fn a_bucket_starts_empty_unless_the_fleet_starts_for_the_first_time() {
    let mut host = Allowances::new(at(0), false, Settings::default());
    host.configure(at(0), &quotas(RATE));

    assert!(host.debit(at(0), &organisation(), 1).is_err());
    assert_eq!(host.debit(at(1), &organisation(), RATE), Ok(()));
}

#[test]
fn organisations_that_are_added_later_start_with_their_burst() {
    let mut host = Allowances::new(at(0), false, Settings::default());
    host.configure(at(0), &[]);

    host.configure(at(0), &quotas(RATE));

    assert_eq!(host.debit(at(0), &organisation(), RATE), Ok(()));
}

#[test]
fn hosts_that_can_not_reach_each_other_spend_the_rate_once_between_them() {
    let mut hosts = [host(), host(), host()];
    for host in &mut hosts {
        host.record_report(at(0), &"second".into(), report(1, 0));
        host.record_report(at(0), &"third".into(), report(1, 0));
        host.mark_unreachable(at(0), &"second".into());
        host.mark_unreachable(at(0), &"third".into());
    }

    let mut total = 0;
    for second in 0..=8 {
        for host in &mut hosts {
            while host.debit(at(second), &organisation(), 1).is_ok() {
                total += 1;
            }
        }
    }

    assert!(total <= 9 * RATE, "{total}");
    assert!(total >= 9 * RATE - 30, "{total}");
}

#[test]
fn the_share_of_a_removed_peer_goes_to_the_others() {
    let mut host = host();
    host.record_report(at(0), &"peer".into(), report(1, 0));
    host.mark_unreachable(at(0), &"peer".into());

    host.remove_peer(at(1), &"peer".into());

    assert_eq!(host.debit(at(2), &organisation(), RATE), Ok(()));
}

#[test]
fn a_lower_limit_applies_at_once_and_a_rate_of_zero_is_unlimited() {
    let mut host = host();

    host.configure(at(0), &quotas(RATE / 10));
    let over = host.debit(at(0), &organisation(), RATE / 10 + 1);
    host.configure(at(0), &quotas(0));
    let unlimited = host.debit(at(0), &organisation(), 1_000 * RATE);

    assert!(over.is_err());
    assert_eq!(unlimited, Ok(()));
}

#[test]
fn unused_tokens_are_refunded() {
    let mut host = host();
    host.debit(at(0), &organisation(), RATE).unwrap();

    host.refund(at(0), &organisation(), RATE);

    assert_eq!(host.spent()[&organisation()], 0);
    assert_eq!(host.debit(at(0), &organisation(), RATE), Ok(()));
}

const WINDOWED: Settings = Settings {
    overdraw: false,
    window: Duration::from_secs(8),
    accrual_time: Duration::from_secs(1),
    unreachable_after: None,
};

#[test]
fn a_paused_host_spends_only_its_share_until_its_peers_report() {
    // A host is paused for 2 s while its two peers spend all tokens.
    let settings =
        Settings { unreachable_after: Some(Duration::from_millis(1_500)), ..Settings::default() };
    let mut host = Allowances::new(at(0), true, settings);
    host.configure(at(0), &quotas(RATE));
    host.record_report(at(0), &"second".into(), report(1, 0));
    host.record_report(at(0), &"third".into(), report(1, 0));

    let debit_of_all = host.debit(at(2), &organisation(), RATE);
    let debit_of_share = host.debit(at(2), &organisation(), RATE / 3);
    host.record_report(at(2), &"second".into(), report(1, 500));
    host.record_report(at(2), &"third".into(), report(1, 500));

    assert!(debit_of_all.is_err());
    assert_eq!(debit_of_share, Ok(()));
    assert!(host.debit(at(2), &organisation(), 1).is_err());
}

/// A report of a peer's process that has run for a time.
fn report_at_age(incarnation: u64, age_s: u64, tokens: i64) -> Report {
    Report { age: Duration::from_secs(age_s), ..report(incarnation, tokens) }
}

// Guards against a peer that was removed as lost and comes back: all it has spent since its start was debited again,
// and requests within the rate were refused for as long as the fleet had run.
#[test]
fn the_spending_of_a_peer_that_comes_back_after_its_removal_is_debited_once() {
    let mut host = host();
    host.record_report(at(0), &"peer".into(), report_at_age(1, 0, 600));
    host.mark_unreachable(at(1), &"peer".into());
    host.remove_peer(at(2), &"peer".into());

    host.record_report(at(60), &"peer".into(), report_at_age(1, 60, 600));

    assert_eq!(host.debit(at(60), &organisation(), RATE), Ok(()));
}

// Guards against two processes of one name, one of which is cut off: each report of one forgot the other's total.
#[test]
fn the_spending_of_two_processes_of_a_name_is_debited_once_each() {
    let mut host = host();

    for _ in 0..3 {
        host.record_report(at(0), &"peer".into(), report(1, 300));
        host.record_report(at(0), &"peer".into(), report(2, 200));
    }

    assert_eq!(host.debit(at(0), &organisation(), 500), Ok(()));
    assert!(host.debit(at(0), &organisation(), 1).is_err());
}

// Guards against a share that is paid for twice: it was reserved for the peer, and is debited when the peer is back.
#[test]
fn what_a_peer_spent_of_its_reserved_share_is_not_debited_again() {
    let mut host = Allowances::new(at(0), true, WINDOWED);
    host.configure(at(0), &quotas(RATE));
    host.record_report(at(0), &"peer".into(), report_at_age(1, 0, 0));
    host.mark_unreachable(at(0), &"peer".into());
    let mut own = 0;
    for second in 0..40 {
        while host.debit(at(second), &organisation(), 100).is_ok() {
            own += 100;
        }
    }

    let peer_spent = 20 * RATE as i64;
    host.record_report(at(40), &"peer".into(), report_at_age(1, 40, peer_spent));

    assert!(own <= 21 * RATE, "{own}");
    let refused = (41..44).find(|second| host.debit(at(*second), &organisation(), 800).is_err());
    assert_eq!(refused, None);
}

// Guards against a peer that spent more than its share while it could not be heard and is not debited for it.
#[test]
fn what_a_peer_spent_beyond_its_reserved_share_is_debited() {
    let mut host = host();
    host.record_report(at(0), &"peer".into(), report_at_age(1, 0, 0));
    host.mark_unreachable(at(0), &"peer".into());

    host.record_report(at(1), &"peer".into(), report_at_age(1, 1, 500 + 400));

    assert_eq!(host.debit(at(1), &organisation(), 100), Ok(()));
    assert!(host.debit(at(1), &organisation(), 1).is_err());
}

// Guards against a process that this host has never heard, or has forgotten: all it has spent was debited at once.
#[test]
fn of_a_process_heard_for_the_first_time_no_more_is_debited_than_a_window_holds() {
    let mut host = Allowances::new(at(0), true, WINDOWED);
    host.configure(at(0), &quotas(RATE));

    host.record_report(at(3_000), &"peer".into(), report_at_age(1, 2_999, 2_000_000));

    let admitted_at =
        (3_000..3_100).find(|second| host.debit(at(*second), &organisation(), 1).is_ok());
    assert!(admitted_at.is_some_and(|second| second <= 3_010), "{admitted_at:?}");
}

// Guards against a report that was overtaken by a later one on another connection and refunds what was spent since.
#[test]
fn an_outdated_report_changes_nothing() {
    let mut host = host();
    host.record_report(at(2), &"peer".into(), report_at_age(1, 2, 600));

    host.record_report(at(2), &"peer".into(), report_at_age(1, 1, 100));

    assert!(host.debit(at(2), &organisation(), 401).is_err());
    assert_eq!(host.debit(at(2), &organisation(), 400), Ok(()));
}

// Guards against a table that grows with each restart of a peer, and one that forgets a peer that may come back.
#[test]
fn a_bounded_number_of_processes_is_remembered_for_a_bounded_time() {
    let mut host = host();
    host.record_report(at(0), &"peer".into(), report(1, 600));
    host.remove_peer(at(0), &"peer".into());
    let later = at(0) + RETENTION - Duration::from_secs(1);

    host.record_report(later, &"other".into(), report(1, 0));
    host.record_report(later, &"peer".into(), report_at_age(1, 3_599, 600));
    let debit = host.debit(later, &organisation(), RATE);
    for incarnation in 2..1_000 {
        host.record_report(later, &"peer".into(), report(incarnation, 0));
    }
    let remembered = host.ledgers.len();
    host.record_report(later + RETENTION, &"peer".into(), report(1_000, 0));

    assert_eq!((debit, remembered), (Ok(()), PROCESSES_MAX));
    assert_eq!(host.ledgers.len(), 1);
}

/// Debits single tokens until the host refuses one, and returns their number.
fn spend_all(host: &mut Allowances, seconds: u64) -> u64 {
    (0..2 * RATE).take_while(|_| host.debit(at(seconds), &organisation(), 1).is_ok()).count() as u64
}

// Guards against hosts that are added together and spend the whole rate each until they hear each other.
#[test]
fn a_host_that_joins_a_fleet_spends_its_share_until_it_hears_the_others() {
    let mut host = restarted();
    for peer in ["second", "third", "fourth"] {
        host.expect_peer(at(0), &peer.into());
    }

    let unheard = spend_all(&mut host, 1);
    for peer in ["second", "third", "fourth"] {
        host.record_report(at(1), &peer.into(), report(1, 0));
    }
    let heard = spend_all(&mut host, 2);

    assert!((RATE / 4 - 5..=RATE / 4).contains(&unheard), "{unheard}");
    assert!((RATE - 5..=RATE).contains(&heard), "{heard}");
}

// Guards against a host that has read no list of hosts before an outage of the store, and spends as if it were alone.
#[test]
fn a_host_that_joins_a_fleet_spends_little_until_it_knows_the_others() {
    let mut host = restarted();
    host.set_fleet_known(at(0), false);

    let unknown = spend_all(&mut host, 1);
    host.set_fleet_known(at(1), true);
    let known = spend_all(&mut host, 2);

    assert!((1..=RATE / 25).contains(&unknown), "{unknown}");
    assert!((RATE - 5..=RATE).contains(&known), "{known}");
}

// Guards against tokens that a running host, or a fleet that starts for the first time, loses when hosts are added.
#[test]
fn a_host_that_does_not_join_reserves_nothing_for_hosts_that_are_added() {
    let mut running = restarted();
    let mut first = Allowances::new(at(0), true, WINDOWED);

    running.expect_peer(at(8), &"new".into());
    first.expect_peer(at(0), &"new".into());
    first.set_fleet_known(at(0), false);

    assert_eq!((running.reserved_share(), first.reserved_share()), (0.0, 0.0));
}

// Guards against totals out of range, which must not end the process.
#[test]
fn totals_out_of_range_are_debited_within_bounds() {
    let mut host = host();

    for total in [i64::MIN, i64::MAX, i64::MIN, 0] {
        host.record_report(at(0), &"peer".into(), report(1, total));
    }

    assert!(host.debit(at(3_600), &organisation(), u64::MAX).is_err());
}

/// Sends requests, given as time in milliseconds and tokens, and returns those that were admitted.
fn admitted(settings: Settings, requests: impl Iterator<Item = (u64, u64)>) -> Vec<(u64, u64)> {
    let mut host = Allowances::new(at(0), true, settings);
    host.configure(at(0), &quotas(RATE));
    let is_admitted = |&(ms, tokens): &(u64, u64)| {
        host.debit(at(0) + Duration::from_millis(ms), &organisation(), tokens).is_ok()
    };
    requests.filter(is_admitted).collect()
}

/// Returns the most tokens admitted within any window of `window_ms` milliseconds.
fn max_tokens_in_window(admitted_requests: &[(u64, u64)], window_ms: u64) -> u64 {
    let sums = admitted_requests.iter().map(|(from_ms, _)| {
        let in_window =
            admitted_requests.iter().filter(|(ms, _)| (*from_ms..from_ms + window_ms).contains(ms));
        in_window.map(|(_, tokens)| tokens).sum()
    });
    sums.max().unwrap_or(0)
}

quickcheck::quickcheck! {
    fn no_window_holds_more_than_rate_and_burst(steps: Vec<(u16, u16)>) -> bool {
        let mut ms = 0;
        let requests = steps.into_iter().cycle().take(400).map(|(pause, tokens)| {
            ms += u64::from(pause % 700);
            (ms, u64::from(tokens % 1_500))
        });
        let admitted_requests = admitted(WINDOWED, requests.collect::<Vec<_>>().into_iter());
        max_tokens_in_window(&admitted_requests, 8_000) <= 9 * RATE
    }
}

#[test]
fn bursts_of_large_requests_within_the_rate_are_admitted() {
    // Three requests of 0.45 s worth of the rate each arrive together every 1.5 s.
    let bursts = || (0..60).map(|n| ((n / 3) * 1_500, 450));

    let bucket = admitted(Settings::default(), bursts()).len();
    let windowed = admitted(WINDOWED, bursts()).len();

    assert_eq!((bucket, windowed), (40, 60));
}

#[test]
fn an_organisation_far_beyond_its_rate_gets_its_rate_and_never_waits_a_window() {
    // One organisation sends seven times its rate for 40 s.
    let flood = (0..40 * 70).map(|n| (n * 1_000 / 70, 100));

    let admitted_requests = admitted(WINDOWED, flood);

    let total: u64 = admitted_requests.iter().map(|(_, tokens)| tokens).sum();
    assert!((40 * RATE..=42 * RATE).contains(&total), "{total}");
    let pauses = admitted_requests.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(pauses.max().unwrap() <= 2_000, "{admitted_requests:?}");
}

#[test]
fn a_refused_caller_is_told_when_the_window_has_room() {
    let mut host = Allowances::new(at(0), true, WINDOWED);
    host.configure(at(0), &quotas(RATE));
    for second in 0..8 {
        while host.debit(at(second), &organisation(), 100).is_ok() {}
    }

    let refusal = host.debit(at(8), &organisation(), 2 * RATE).unwrap_err();

    assert!(refusal.retry_after >= Duration::from_millis(250), "{refusal:?}");
    assert_eq!(host.debit(at(8) + refusal.retry_after, &organisation(), 2 * RATE), Ok(()));
}

#[test]
fn what_peers_spend_fills_the_window_too() {
    let mut host = Allowances::new(at(0), true, WINDOWED);
    host.configure(at(0), &quotas(RATE));
    for second in 0..8_u32 {
        let spent = i64::from(second + 1) * 1_100;
        host.record_report(at(u64::from(second)), &"peer".into(), report(1, spent));
    }

    let debit_beyond_window = host.debit(at(8), &organisation(), 300);
    let debit_within_window = host.debit(at(8), &organisation(), 200);

    assert!(debit_beyond_window.is_err());
    assert_eq!(debit_within_window, Ok(()));
}

/// A host that doesn't know the fleet's spending before its start.
fn restarted() -> Allowances {
    let mut host = Allowances::new(at(0), false, WINDOWED);
    host.configure(at(0), &quotas(RATE));
    host
}

#[test]
fn a_fleet_that_has_lost_all_it_knew_exceeds_a_window_by_what_can_be_saved_up_at_most() {
    // An organisation sends many times its rate, and all hosts are killed once it has spent all that it
    // could.
    let flood = |host: &mut Allowances, from: u64, to: u64| -> u64 {
        let at = |ms| at(0) + Duration::from_millis(ms);
        let admitted_requests =
            (from..to).step_by(10).filter(|ms| host.debit(at(*ms), &organisation(), 100).is_ok());
        admitted_requests.count() as u64 * 100
    };
    for killed_at in [500, 1_000, 3_000, 7_000] {
        let mut killed_host = Allowances::new(at(0), true, WINDOWED);
        killed_host.configure(at(0), &quotas(RATE));
        let mut spent = flood(&mut killed_host, 0, killed_at);

        let mut restarted_host =
            Allowances::new(at(0) + Duration::from_millis(killed_at), false, WINDOWED);
        restarted_host.configure(at(0) + Duration::from_millis(killed_at), &quotas(RATE));
        spent += flood(&mut restarted_host, killed_at, 8_000);

        assert!(spent <= (9 + 1) * RATE, "killed at {killed_at}: {spent}");
    }
}

/// Sends new streams of a tenth of the rate every 10 ms, and returns how many are admitted.
fn flood_with_new_streams(host: &mut Allowances, from_ms: u64, to_ms: u64) -> usize {
    let times = (from_ms..to_ms).step_by(10).map(|ms| at(0) + Duration::from_millis(ms));
    times
        .filter(|now| {
            host.debit_for(*now, &organisation(), RATE / 10, Purpose::BeginStream).is_ok()
        })
        .count()
}

/// Resumes a stream of a tenth of the rate.
fn resume(host: &mut Allowances, at_ms: u64) -> Result<(), Refusal> {
    let now = at(0) + Duration::from_millis(at_ms);
    host.debit_for(now, &organisation(), RATE / 10, Purpose::ResumeStream)
}

// Guards against streams that are lost to their callers, since new ones have spent what accrued before these came.
#[test]
fn streams_are_resumed_before_new_ones_begin_where_no_host_knows_the_spending() {
    let mut host = restarted();

    let new_before = flood_with_new_streams(&mut host, 0, 3_000);
    let resumed = (0..12).filter(|_| resume(&mut host, 3_000).is_ok()).count();
    let new_meanwhile = flood_with_new_streams(&mut host, 3_000, 3_500);

    // New ones wait for half of the bucket once, and get the rate after that.
    assert!((18..=21).contains(&new_before), "{new_before}");
    assert!(resumed >= 9, "{resumed}");
    assert_eq!(new_meanwhile, 0);
}

// Guards against callers that all come back at once, with tokens for one of them, until they give up.
#[test]
fn callers_whose_streams_find_no_tokens_come_back_one_after_the_other() {
    let mut host = restarted();
    flood_with_new_streams(&mut host, 0, 3_000);

    let refused: Vec<_> = (0..20).filter_map(|_| resume(&mut host, 3_000).err()).collect();
    let mut retry_ms: Vec<u64> =
        refused.iter().map(|refusal| 3_000 + refusal.retry_after.as_millis() as u64 + 1).collect();
    retry_ms.sort_unstable();
    let resumed = retry_ms.iter().filter(|ms| resume(&mut host, **ms).is_ok()).count();

    assert!((8..=11).contains(&refused.len()), "{}", refused.len());
    assert_eq!(resumed, refused.len(), "{retry_ms:?}");
    assert!(retry_ms.iter().all(|ms| *ms <= 3_000 + 1_200), "{retry_ms:?}");
}

#[test]
fn new_streams_leave_nothing_once_the_spending_of_a_window_is_known() {
    let mut host = restarted();
    flood_with_new_streams(&mut host, 0, 8_000);

    let admitted = flood_with_new_streams(&mut host, 8_000, 9_000);

    assert!(admitted >= 18, "{admitted}");
    assert!(host.debit(at(9), &organisation(), RATE / 5).is_err());
}

#[test]
fn new_streams_leave_nothing_where_the_spending_is_known() {
    let mut host = Allowances::new(at(0), true, WINDOWED);
    host.configure(at(0), &quotas(RATE));

    let all = host.debit_for(at(0), &organisation(), 2 * RATE, Purpose::BeginStream);

    assert_eq!(all, Ok(()));
}

// Guards against a new stream that waits for what a bucket can't hold.
#[test]
fn a_new_stream_as_large_as_the_bucket_begins_when_that_is_full() {
    let mut host = restarted();

    let second = (0..8).find(|second| {
        host.debit_for(at(*second), &organisation(), 2 * RATE, Purpose::BeginStream).is_ok()
    });

    assert_eq!(second, Some(2));
}

#[test]
fn a_host_that_joins_a_running_fleet_applies_its_accounts() {
    let mut running_host = Allowances::new(at(0), true, WINDOWED);
    running_host.configure(at(0), &quotas(RATE));
    running_host.debit(at(0), &organisation(), 1_500).unwrap();
    let mut joining_host = restarted();

    let adopted = joining_host.adopt(at(0), &running_host.accounts(at(0)));

    assert!(adopted);
    assert_eq!(joining_host.debit(at(0), &organisation(), 500), Ok(()));
    assert!(joining_host.debit(at(0), &organisation(), 1).is_err());
    assert_eq!(joining_host.accounts(at(0))[0].spent, [(Duration::ZERO, 2_000.0)]);
}

#[test]
fn accounts_are_applied_only_once() {
    let mut host = restarted();
    let rich = Account { organisation: organisation(), level: 5_000.0, spent: Vec::new() };
    let poor = Account { level: 0.0, ..rich.clone() };

    let first_adopted = host.adopt(at(0), &[poor]);
    let second_adopted = host.adopt(at(0), &[rich]);

    assert_eq!((first_adopted, second_adopted), (true, false));
    assert!(host.debit(at(0), &organisation(), 1).is_err());
}

#[test]
fn a_host_without_accounts_knows_the_spending_once_it_has_run_for_a_window() {
    let host = restarted();

    assert!(!host.is_history_known(at(7)));
    assert!(host.is_history_known(at(8)));
}

#[test]
fn cells_spend_an_allowance_once_between_them() {
    // Three cells of one, two and three hosts; only hosts of the same cell report to each other.
    let mut total = 0;
    for size in 1..=3_u64 {
        let mut host = host();
        (1..size)
            .for_each(|peer| host.record_report(at(0), &peer.to_string().into(), report(1, 0)));
        host.set_other_cell_hosts(at(0), 6 - usize::try_from(size).unwrap());
        for second in 0..=8 {
            while host.debit(at(second), &organisation(), 1).is_ok() {
                total += 1;
            }
        }
    }

    assert!((9 * RATE - 30..=9 * RATE).contains(&total), "{total}");
}

#[test]
fn requests_larger_than_a_cells_part_of_a_small_allowance_are_admitted() {
    // 16 cells receive requests of half a second's rate each, three times as many as the rate allows.
    let mut cells: Vec<Allowances> = Vec::new();
    for _ in 0..16 {
        let mut host = Allowances::new(at(0), true, WINDOWED);
        host.configure(at(0), &quotas(RATE));
        host.set_other_cell_hosts(at(0), 15);
        cells.push(host);
    }

    let mut admitted_requests = Vec::new();
    for number in 0..40 * 6 {
        let ms = number * 1_000 / 6;
        let cell = usize::try_from(number * 7 % 16).unwrap();
        let now = at(0) + Duration::from_millis(ms);
        if cells[cell].debit(now, &organisation(), 500).is_ok() {
            admitted_requests.push((ms, 500));
        }
    }

    let total = admitted_requests.len() as u64 * 500;
    assert!(total >= 40 * RATE * 8 / 10, "{total}");
    assert!(
        max_tokens_in_window(&admitted_requests, 8_000) <= 9 * RATE,
        "{}",
        max_tokens_in_window(&admitted_requests, 8_000)
    );
}

#[test]
fn a_large_fleet_that_has_lost_all_it_knew_lets_large_requests_in_before_its_window_is_over() {
    // All hosts of 16 cells were killed, and requests are larger than a cell's bucket can hold.
    let mut host = Allowances::new(at(0), false, WINDOWED);
    host.configure(at(0), &quotas(16 * RATE));
    host.set_other_cell_hosts(at(0), 15);
    let large_request = 3 * RATE;

    let second =
        (0..8).find(|second| host.debit(at(*second), &organisation(), large_request).is_ok());
    let next = (second.unwrap()..8)
        .find(|second| host.debit(at(*second), &organisation(), large_request).is_ok());

    // By then, exactly that many tokens have accrued at the cell's part of the rate.
    assert_eq!((second, next), (Some(3), Some(6)));
}

#[test]
fn a_bucket_is_below_half_only_with_less_than_half_its_capacity() {
    let mut host = host();
    host.debit(at(0), &organisation(), RATE / 2).unwrap();
    let at_half = host.is_below_half(&organisation());
    host.debit(at(0), &organisation(), 1).unwrap();

    assert!(!at_half);
    assert!(host.is_below_half(&organisation()));
    assert!(!host.is_below_half("nobody"));
}

// Guards against a host whose memory grows with each request where allowances have no window.
#[test]
fn a_window_of_no_length_holds_nothing() {
    let mut window = Window::new(Duration::ZERO);

    (0..10).for_each(|second| window.add(at(second), 1.0));

    assert_eq!(window.slots(at(10)).count(), 0);
}

// Guards against spending that peers take for a refund, since the tokens that a caller states don't fit into the count.
#[test]
fn the_largest_requests_that_callers_can_state_count_as_spent() {
    let mut host = Allowances::new(at(0), true, Settings::default());
    host.configure(at(0), &quotas(u64::MAX));

    let largest = i64::MAX.unsigned_abs() + 1;
    let first = host.debit(at(0), &organisation(), largest);
    let once = host.spent()[&organisation()];
    host.refund(at(0), &organisation(), 5);
    let second = host.debit(at(10), &organisation(), largest);

    assert!(first.is_ok() && second.is_ok());
    assert_eq!((once, host.spent()[&organisation()]), (i64::MAX, i64::MAX));
}
