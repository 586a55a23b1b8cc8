use super::{Builds, FIRST_STREAM_DELAY, Hosts, Keepers, Known, Origins, Possible, Stream};
use crate::time::Instant;
use chestnutrack_wire::frame::{BuildReport, OriginReport};
use quickcheck::quickcheck;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const NOW: Instant = Instant::from_millis(1_000_000);
const LIFE: Duration = Duration::from_secs(33);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn hosts(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("host-{n}").into()).collect()
}

fn keepers(stream: Stream, hosts: impl IntoIterator<Item = Arc<str>>) -> Vec<Arc<str>> {
    Keepers::new(hosts).of(stream).cloned().collect()
}

fn stream(n: u64) -> Stream {
    Stream::begun_by(&format!("request-{n}"))
}

/// Returns what a host knows that started long after its fleet and lists the given builds now.
fn builds_of_later_host(listed: &[&str]) -> Builds {
    let mut builds = Builds::new(false);
    builds.set_stream_life(&"llm".into(), LIFE);
    list(&mut builds, NOW, listed);
    builds
}

fn list(builds: &mut Builds, now: Instant, listed: &[&str]) {
    builds.record_listed(now, listed.iter().map(|build| ("llm".into(), (*build).into())));
}

fn report(build: &str, age_ms: u32) -> BuildReport {
    BuildReport { service: "llm".into(), build: build.into(), age_ms }
}

#[test]
fn a_stream_has_as_many_keepers_as_there_are_hosts_up_to_three() {
    for (count, expected) in [(0, 0), (1, 1), (2, 2), (3, 3), (103, 3)] {
        let found: BTreeSet<Arc<str>> = keepers(stream(1), hosts(count)).into_iter().collect();

        assert_eq!(found.len(), expected);
    }
}

// Guards against a stream that nobody knows since a host has come or gone.
#[test]
fn a_host_that_comes_or_goes_changes_at_most_one_keeper_of_a_stream() {
    fn is_stable(number: u64, count: usize, gone: usize) -> bool {
        let all = hosts(count % 100 + 1);
        let others = all.iter().enumerate().filter(|(n, _)| *n != gone % all.len());
        let others: Vec<Arc<str>> = others.map(|(_, host)| host.clone()).collect();
        let before: BTreeSet<Arc<str>> = keepers(stream(number), all).into_iter().collect();
        let after: BTreeSet<Arc<str>> = keepers(stream(number), others).into_iter().collect();
        before.difference(&after).count() <= 1 && after.difference(&before).count() <= 1
    }
    quickcheck(is_stable as fn(u64, usize, usize) -> bool);
}

// Guards against a keeper that is asked and was never told: the host that begins a stream and the one at which its caller
// resumes it each leave themselves out.
#[test]
fn the_host_that_is_asked_about_a_stream_is_one_that_was_told() {
    let all = hosts(5);
    let others = |own: usize| all.iter().enumerate().filter(move |(n, _)| *n != own);
    for number in 0..200 {
        for (begun, resumed) in [(0, 1), (1, 2), (2, 4), (4, 3)] {
            let told = keepers(stream(number), others(begun).map(|(_, host)| host.clone()));
            let asked = keepers(stream(number), others(resumed).map(|(_, host)| host.clone()));

            let knows =
                told.contains(&all[resumed]) || asked.iter().any(|host| told.contains(host));
            assert!(knows, "{number}");
        }
    }
}

#[test]
fn keepers_are_spread_over_all_hosts() {
    let mut counts = std::collections::BTreeMap::<Arc<str>, u32>::new();
    for number in 0..3_000 {
        for keeper in keepers(stream(number), hosts(30)) {
            *counts.entry(keeper).or_default() += 1;
        }
    }

    // 300 each on average.
    assert!(counts.values().all(|count| (200..400).contains(count)), "{counts:?}");
}

#[test]
fn the_build_that_was_recorded_first_counts_until_the_stream_must_have_ended() {
    let mut origins = Origins::default();
    origins.record(NOW, stream(1), &"v1".into(), NOW + seconds(10), true);
    origins.record(NOW, stream(1), &"v2".into(), NOW + seconds(12), true);

    assert_eq!(origins.build(NOW + seconds(11), stream(1)).as_deref(), Some("v1"));
    assert_eq!(origins.build(NOW + seconds(12), stream(1)), None);
}

#[test]
fn streams_that_have_ended_do_not_fill_the_memory() {
    let mut origins = Origins::default();
    for number in 0..100_000 {
        let now = NOW + Duration::from_millis(number);
        origins.record(now, stream(number), &"v1".into(), now + seconds(2), false);
    }

    // About 2,000 have not ended.
    assert!(origins.streams().count() <= 4_500, "{}", origins.streams().count());
}

#[test]
fn a_search_ends_when_a_keeper_knows_or_all_have_answered() {
    let mut origins = Origins::default();
    let known = OriginReport {
        stream: stream(2).number(),
        build: "v1".into(),
        left_ms: 5_000,
        record: false,
    };
    assert_eq!(origins.find(NOW, stream(1)), Known::Pending);
    assert_eq!(origins.find(NOW, stream(2)), Known::Pending);
    assert_eq!(origins.unasked().len(), 2);

    for number in 1..=2 {
        origins.record_asked(stream(number), 2);
        origins.record_unknown(stream(number));
        assert_eq!(origins.find(NOW, stream(number)), Known::Pending);
    }
    origins.record_unknown(stream(1));
    origins.record_reports(NOW, &[known]);

    assert_eq!(origins.unasked(), []);
    assert_eq!(origins.find(NOW, stream(1)), Known::Nowhere);
    assert_eq!(origins.find(NOW, stream(2)), Known::Build("v1".into()));
    // A caller that comes later has the keepers asked again.
    assert_eq!(origins.find(NOW + seconds(1), stream(1)), Known::Pending);
}

#[test]
fn what_keepers_are_told_is_told_once_and_again_when_that_is_required() {
    let mut origins = Origins::default();
    origins.record(NOW, stream(1), &"v1".into(), NOW + seconds(10), true);
    origins.record(NOW, stream(2), &"v1".into(), NOW + seconds(10), false);

    assert_eq!(origins.take_untold(), [stream(1)]);
    assert_eq!(origins.take_untold(), []);
    origins.tell_all();
    assert_eq!(origins.take_untold().len(), 2);
}

// Guards against a stream that goes on at the only build that is listed, though another one has just left.
#[test]
fn a_build_that_is_no_longer_listed_may_have_begun_a_stream_for_as_long_as_one_lasts() {
    let mut builds = Builds::new(true);
    builds.set_stream_life(&"llm".into(), LIFE);
    list(&mut builds, NOW, &["v1"]);
    assert_eq!(builds.possible(NOW, "llm"), Possible::One("v1".into()));

    list(&mut builds, NOW + seconds(5), &["v1", "v2"]);
    list(&mut builds, NOW + seconds(50), &["v2"]);

    assert_eq!(builds.possible(NOW + seconds(37), "llm"), Possible::Several);
    assert_eq!(builds.possible(NOW + seconds(38), "llm"), Possible::One("v2".into()));
}

// Guards against a host that has just started and takes the only build that it lists for the only one that has served.
#[test]
fn a_host_that_starts_later_knows_no_former_build_until_it_is_told_or_has_listed_for_long() {
    let fresh = builds_of_later_host(&["v2"]);
    let mut told = fresh.clone();
    told.record_former(NOW, &[]);
    told.record_former_known();
    let mut told_another = told.clone();
    told_another.record_former(NOW, &[report("v1", 3_000)]);

    assert_eq!(fresh.possible(NOW + seconds(32), "llm"), Possible::Unknown);
    assert_eq!(fresh.possible(NOW + seconds(33), "llm"), Possible::Unknown);
    assert_eq!(told.possible(NOW, "llm"), Possible::One("v2".into()));
    assert_eq!(told_another.possible(NOW, "llm"), Possible::Several);
    let mut listing = fresh;
    list(&mut listing, NOW + seconds(33), &["v2"]);
    assert_eq!(listing.possible(NOW + seconds(33), "llm"), Possible::One("v2".into()));
}

#[test]
fn a_host_that_would_not_know_of_a_listed_build_knows_none() {
    let mut builds = Builds::new(true);
    list(&mut builds, NOW, &["v1"]);
    builds.follow();

    assert_eq!(builds.freshness_change(NOW), None);
    assert_eq!(builds.possible(NOW, "llm"), Possible::Unknown);
    builds.record_heard(NOW, true);
    assert_eq!(builds.freshness_change(NOW), Some(true));
    assert_eq!(builds.freshness_change(NOW + seconds(2)), Some(false));
    assert_eq!(builds.possible(NOW, "llm"), Possible::One("v1".into()));
}

// Guards against a host that stood still, or that was cut off silently, and still relies on what it knew before.
#[test]
fn a_host_that_has_heard_nothing_for_long_knows_no_only_build() {
    let mut builds = Builds::new(true);
    builds.follow();
    list(&mut builds, NOW, &["v1"]);
    builds.record_heard(NOW, true);

    assert_eq!(builds.possible(NOW + seconds(1), "llm"), Possible::One("v1".into()));
    assert_eq!(builds.possible(NOW + seconds(2), "llm"), Possible::Unknown);
}

// Guards against a build that two hosts report to each other for ever, each time a little younger.
#[test]
fn what_another_host_reported_is_not_reported_further() {
    let mut builds = builds_of_later_host(&["v2"]);

    builds.record_former(NOW, &[report("v1", 1_000)]);

    assert_eq!(builds.reports(NOW, false), [report("v2", 0)]);
}

// Guards against a host that relies on one that was itself only told.
#[test]
fn only_a_host_that_has_listed_for_as_long_as_a_stream_lasts_vouches_for_its_reports() {
    let mut told = builds_of_later_host(&["v1"]);
    told.record_former_known();
    let mut first = Builds::new(true);

    assert!(!first.has_listed_all(NOW) && !first.is_known(NOW));
    list(&mut first, NOW, &["v1"]);
    assert!(first.has_listed_all(NOW));
    assert!(told.is_known(NOW) && !told.has_listed_all(NOW));
    assert!(told.has_listed_all(NOW + LIFE));
}

// Guards against a host that has just started and misses a build, since the host that vouches for all builds was only told of
// it: its reports name what it has listed.
#[test]
fn a_host_that_was_told_of_a_build_that_it_has_not_listed_does_not_vouch_for_its_reports() {
    let mut builds = Builds::new(true);
    builds.set_stream_life(&"llm".into(), LIFE);
    list(&mut builds, NOW, &["v1"]);
    builds.record_former(NOW, &[report("v1", 0), report("v2", 0)]);

    assert!(builds.is_known(NOW) && !builds.has_listed_all(NOW));
    let mut with_listed = builds.clone();
    list(&mut with_listed, NOW, &["v2"]);
    assert!(with_listed.has_listed_all(NOW));
    list(&mut builds, NOW + LIFE, &["v1"]);
    assert!(builds.has_listed_all(NOW + LIFE));
}

// Guards against a build that is taken for the only one, since the store had not been told of another when all hosts were killed.
#[test]
fn builds_that_the_store_names_are_not_all_if_its_records_name_another() {
    let mut builds = builds_of_later_host(&["v1"]);
    builds.record_former_known();
    assert!(builds.relies_on_store(NOW, "llm"));

    builds.record_recorded(NOW, ["v1"]);
    assert_eq!(builds.possible(NOW, "llm"), Possible::One("v1".into()));
    builds.record_recorded(NOW, ["v1", "v2"]);

    assert_eq!(builds.possible(NOW, "llm"), Possible::Unknown);
    let later = NOW + LIFE;
    list(&mut builds, later, &["v1"]);
    assert_eq!(builds.possible(later, "llm"), Possible::One("v1".into()));
    assert!(!builds.relies_on_store(later, "llm"));
}

// Guards against records of ended releases that make the hosts of a running fleet refuse.
#[test]
fn builds_that_another_host_vouches_for_are_all() {
    let mut builds = builds_of_later_host(&["v1"]);
    builds.record_vouched(&[report("v1", 0)]);

    builds.record_recorded(NOW, ["v2"]);

    assert_eq!(builds.possible(NOW, "llm"), Possible::One("v1".into()));
    assert!(!builds.relies_on_store(NOW, "llm"));
}

/// Returns what a host of a fleet knows that listed the first build and, a minute later, the second one too.
fn builds_with_a_new_one() -> Builds {
    let mut builds = builds_of_later_host(&["v1"]);
    list(&mut builds, NOW + seconds(59), &["v1"]);
    builds.follow();
    list(&mut builds, NOW + seconds(60), &["v1", "v2"]);
    builds
}

fn announced(builds: &mut Builds, now: Instant, peers: &[&str]) -> usize {
    announced_to(builds, now, peers, peers.len())
}

fn announced_to(builds: &mut Builds, now: Instant, heard: &[&str], peers: usize) -> usize {
    list(builds, now, &["v1", "v2"]);
    let heard = heard.iter().map(|peer| (*peer).into()).collect();
    builds.announce(now, Hosts { heard: &heard, peers, is_whole_fleet: true }, |_| true).len()
}

// Guards against a new build that gets no streams since a host that is out of step does not list it.
#[test]
fn streams_begin_at_a_new_build_when_all_hosts_list_it_or_enough_have_for_long() {
    let (joined, peers) = (NOW + seconds(60), ["b", "c"]);
    let mut builds = builds_with_a_new_one();

    assert_eq!(announced(&mut builds, joined + FIRST_STREAM_DELAY, &peers), 0);
    builds.record_listing_host(&"b".into(), &[report("v2", 0)]);
    let mut with_all = builds.clone();
    with_all.record_listing_host(&"c".into(), &[report("v2", 0)]);

    assert_eq!(announced(&mut with_all, joined + FIRST_STREAM_DELAY, &peers), 1);
    let quorum_at = joined + seconds(10);
    assert_eq!(announced(&mut builds, quorum_at, &peers), 0);
    assert_eq!(announced(&mut builds, quorum_at + FIRST_STREAM_DELAY, &peers), 1);
    assert!(!builds.has_unannounced());
}

// Guards against streams that begin at a build by what hosts said that have not been heard since: they may have started
// again, and no longer know the build.
#[test]
fn hosts_that_are_not_heard_do_not_count_as_listing_a_build() {
    let (joined, peers) = (NOW + seconds(60), ["b", "c"]);
    let mut builds = builds_with_a_new_one();
    builds.record_listing_host(&"b".into(), &[report("v2", 0)]);

    assert_eq!(announced(&mut builds, joined, &peers), 0);
    assert_eq!(announced_to(&mut builds, joined + seconds(1), &["c"], 2), 0);
    assert_eq!(announced(&mut builds, joined + seconds(2), &peers), 0);
    assert_eq!(announced(&mut builds, joined + FIRST_STREAM_DELAY, &peers), 0);
    assert_eq!(announced(&mut builds, joined + seconds(2) + FIRST_STREAM_DELAY, &peers), 1);
}

// Guards against a host without the messages of enough others that refuses streams again and again, until it has read the
// list of servers.
#[test]
fn a_confirmation_is_due_before_the_last_one_has_expired() {
    let mut builds = Builds::new(true);
    builds.follow();
    list(&mut builds, NOW, &["v1"]);
    assert!(builds.is_confirmation_due(NOW));

    builds.record_list_read(NOW, NOW, true);

    let later = NOW + Duration::from_millis(1_000);
    assert!(!builds.is_confirmation_due(NOW + Duration::from_millis(900)));
    assert!(builds.is_confirmation_due(later) && builds.is_current(later));
}

// Guards against a wait that goes on while the build is not listed, and against builds that are kept for ever.
#[test]
fn a_build_that_left_before_streams_could_begin_at_it_is_forgotten() {
    let mut builds = builds_with_a_new_one();
    let (now, heard) = (NOW + seconds(61), BTreeSet::from(["b".into()]));

    list(&mut builds, now, &["v1"]);
    builds.announce(now, Hosts { heard: &heard, peers: 1, is_whole_fleet: true }, |_| true);

    assert!(!builds.has_unannounced());
}

// Guards against a build that was taken back and comes again, which hosts that have forgotten it do not expect.
#[test]
fn a_build_that_comes_back_is_announced_again() {
    let mut builds = builds_with_a_new_one();
    announced(&mut builds, NOW + seconds(60), &[]);
    list(&mut builds, NOW + seconds(90), &["v1"]);

    list(&mut builds, NOW + seconds(91), &["v1", "v2"]);

    assert!(builds.has_unannounced());
}

// Guards against a host that has just started and takes the first build that it lists for the only one.
#[test]
fn a_host_that_does_not_know_all_builds_begins_no_stream_before_others_list_its_build() {
    let mut builds = Builds::new(false);
    builds.follow();
    let heard = BTreeSet::from(["b".into(), "c".into()]);
    let hosts = Hosts { heard: &heard, peers: 2, is_whole_fleet: true };

    list(&mut builds, NOW, &["v2"]);
    assert_eq!(builds.announce(NOW, hosts, |_| true).len(), 0);
    assert_eq!(builds.reports(NOW, false), [report("v2", 0)]);
    builds.record_heard(NOW, true);
    builds.record_vouched(&[report("v2", 0)]);

    assert_eq!(builds.announce(NOW, hosts, |_| true).len(), 1);
}

// Guards against text of two builds after a release that was taken back while a host read nothing.
#[test]
fn a_host_that_reads_the_list_anew_after_long_knows_no_only_build() {
    let mut builds = Builds::new(true);
    builds.follow();
    list(&mut builds, NOW, &["v1"]);
    builds.record_heard(NOW, true);
    let (mut gapless, later) = (builds.clone(), NOW + seconds(10));

    builds.record_list_read(later, later, true);
    gapless.record_list_read(later, later, false);

    assert_eq!(builds.possible(later, "llm"), Possible::Unknown);
    assert_eq!(gapless.possible(later, "llm"), Possible::One("v1".into()));
}

// Guards against streams at a build that has come back, which another host is about to forget: its report still named the
// build, as one that it listed long ago.
#[test]
fn a_host_that_listed_a_build_long_ago_does_not_count_as_one_that_lists_it() {
    let mut builds = builds_with_a_new_one();
    let (joined, peers) = (NOW + seconds(60), ["b", "c"]);

    builds.record_listing_host(&"b".into(), &[report("v2", 0)]);
    builds.record_listing_host(&"c".into(), &[report("v2", 0)]);
    builds.record_listing_host(&"c".into(), &[report("v1", 0), report("v2", 32_900)]);

    assert_eq!(announced(&mut builds, joined, &peers), 0);
}

// Guards against a host that has just started, and takes the first build that it lists for the only one: before, a peer that had
// not heard it yet vouched for all builds, in a message that names none.
#[test]
fn reports_that_name_no_build_do_not_complete_what_a_host_knows_that_has_listed_none() {
    let mut builds = Builds::new(false);
    builds.follow();
    builds.set_stream_life(&"llm".into(), LIFE);

    builds.record_vouched(&[]);
    list(&mut builds, NOW, &["v2"]);
    builds.record_vouched(&[]);
    builds.record_list_read(NOW, NOW, false);

    assert_eq!(builds.possible(NOW, "llm"), Possible::Unknown);
    assert_eq!(announced(&mut builds, NOW, &["host-1", "host-2"]), 0);
}

// Guards against streams at a build that other hosts have forgotten: this one's list was out of date, so that it took the
// build for listed long after its engines had left.
#[test]
fn a_build_that_left_while_the_list_was_out_of_date_is_announced_again() {
    let mut builds = builds_of_later_host(&["v1", "v2"]);
    builds.follow();
    builds.record_list_read(NOW, NOW, false);
    let heard = BTreeSet::new();
    let hosts = Hosts { heard: &heard, peers: 0, is_whole_fleet: false };
    let mut tick = |now, listed: &[&str], is_read| {
        list(&mut builds, now, listed);
        if is_read {
            builds.record_list_read(now, now, true);
        }
        builds.announce(now, hosts, |_| true);
        builds.unannounced().remove("llm").unwrap_or_default()
    };

    // The engines of v1 leave after the first read, and come back after the second one.
    let before = (0..33).flat_map(|n| tick(NOW + seconds(n), &["v1", "v2"], false)).count();
    tick(NOW + LIFE, &["v2"], true);
    let after = tick(NOW + LIFE + seconds(2), &["v1", "v2"], true);

    assert_eq!(before, 0);
    assert!(after.contains("v1"), "{after:?}");
}

// Guards against a cell that could not read the store for a while, and relies on its hosts' messages again as soon as one of them
// has read it: none of them knows a build that hosts of another cell had meanwhile.
#[test]
fn a_host_whose_cell_heard_nothing_of_others_for_long_knows_no_only_build() {
    let mut builds = Builds::new(true);
    builds.follow();
    list(&mut builds, NOW, &["v1"]);
    builds.record_list_read(NOW, NOW, true);
    let (mut whole_fleet, later) = (builds.clone(), NOW + seconds(10));

    builds.record_heard(later, false);
    whole_fleet.record_heard(later, true);

    assert_eq!(builds.possible(later, "llm"), Possible::Unknown);
    assert_eq!(whole_fleet.possible(later, "llm"), Possible::One("v1".into()));
}
