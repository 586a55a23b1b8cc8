//! Streams while engines of several software versions ("builds") serve side by side. What two builds write does not fit
//! together.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer_prefill, chunk, stream_end, stream_head,
};
use crate::fixture::caller::{Answer, call, connect, generation};
use crate::fixture::fleet::{Fleet, Member};
use crate::fixture::store::{HOSTS, control, host_at, register, set_down, start_store};
use crate::fixture::{Host, decode, host, host_with_settings, prefill, settings, wait_until};
use chestnutrack_core::allowance;
use chestnutrack_core::dispatch::{Change, Entry};
use chestnutrack_core::origin::{Keepers, Stream};
use futures_util::future::join_all;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Number of events of a stream.
const EVENTS: u64 = 4;
/// Number of calls of which each engine gets some.
const CALLS: usize = 16;

/// What an engine does with a stream that it begins. One that it continues it completes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Begin {
    Complete,
    /// Resets the connection after two events.
    Break,
    /// Sends nothing more after two events.
    Hang,
}

/// Starts an engine whose events name its build.
pub(crate) async fn engine(build: &'static str, begin: Begin) -> Backend {
    Backend::start(move |request| stream(request, build, begin)).await
}

fn stream(request: &ReceivedRequest, build: &str, begin: Begin) -> Vec<Step> {
    let last = request.header("last-event-id").map(|last| last.parse::<u64>().unwrap());
    let is_cut = last.is_none() && begin != Begin::Complete;
    let until = if is_cut { 2 } else { EVENTS };
    let events = last.unwrap_or(0) + 1..=until;
    let mut steps = vec![stream_head(request)];
    steps.extend(events.map(|id| chunk(&format!("id: {id}\ndata: {build} {id}\n\n"))));
    steps.push(match begin {
        Begin::Break if is_cut => Step::Reset,
        Begin::Hang if is_cut => Step::Hang,
        _ => stream_end(),
    });
    steps
}

/// Returns the entry of a decode engine of a build.
pub(crate) fn decode_of(build: &str, name: &str, backend: &Backend) -> Entry {
    Entry { build: build.into(), ..decode(name, backend) }
}

/// Starts a prefill engine and a decode engine of each of two builds, whose streams hang, and returns their entries.
pub(crate) async fn two_builds() -> ([Backend; 3], [Entry; 3]) {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, second) = (engine("v1", Begin::Hang).await, engine("v2", Begin::Hang).await);
    let servers = [
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &first),
        decode_of("v2", "decode-2", &second),
    ];
    ([prefiller, first, second], servers)
}

/// Adds a server to the list of a host.
fn list(host: &Host, entry: Entry) {
    host.app.apply_change(Change::Put(entry.name.clone(), entry));
}

/// Returns the builds that wrote the events of an answer.
pub(crate) fn builds(answer: &Answer) -> BTreeSet<&str> {
    let lines = answer.body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.filter_map(|data| data.split(' ').next()).collect()
}

/// Returns a request for a stream.
pub(crate) fn beginning(id: &str) -> String {
    generation("/recap/7").replace("request: r1", &format!("request: {id}"))
}

/// Returns a request that resumes the stream that request `began` began, after its second event.
pub(crate) fn resuming(id: &str, began: &str) -> String {
    let headers = format!("last-event-id: 2\r\nx-chestnutrack-resumes: {began}\r\ncontent-length");
    beginning(id).replacen("content-length", &headers, 1)
}

/// Begins a stream at a host and reads until its second event. Returns its build, and the connection.
pub(crate) async fn begin(address: std::net::SocketAddr, id: &str) -> (String, TcpStream) {
    let mut connection = connect(address).await;
    connection.write_all(beginning(id).as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    loop {
        bytes.push(connection.read_u8().await.unwrap());
        let text = String::from_utf8_lossy(&bytes);
        if let Some((_, event)) = text.split_once("id: 2\ndata: ")
            && let Some((build, _)) = event.split_once(' ')
        {
            return (build.to_owned(), connection);
        }
    }
}

pub(crate) fn is_refused_with_time(answer: &Answer) -> bool {
    answer.status == 503 && answer.header("retry-after").is_some()
}

// Guards against a stream that breaks off and goes on, in the same answer, at an engine of another build.
#[tokio::test]
async fn a_broken_stream_goes_on_at_the_build_that_began_it() {
    let prefiller = Backend::start(answer_prefill).await;
    let (breaking, sound) = (engine("v1", Begin::Break).await, engine("v1", Begin::Complete).await);
    let (other, another) =
        (engine("v2", Begin::Complete).await, engine("v2", Begin::Complete).await);
    let host = host(vec![
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &breaking),
        decode_of("v2", "decode-2", &other),
        decode_of("v2", "decode-3", &another),
        decode_of("v1", "decode-4", &sound),
    ])
    .await;

    for _ in 0..CALLS {
        let answer = call(host.address, &beginning("r1")).await;

        assert_eq!((answer.complete, builds(&answer).len()), (true, 1), "{}", answer.body);
    }
    assert!(breaking.request_count() > 0, "the engine that breaks off was never chosen");
}

// Guards against a stream whose engine is silent and that is taken over by an engine of another build.
#[tokio::test]
async fn a_silent_engine_is_replaced_by_one_of_its_build() {
    let prefiller = Backend::start(answer_prefill).await;
    let (silent, sound) = (engine("v1", Begin::Hang).await, engine("v1", Begin::Complete).await);
    let (other, another) =
        (engine("v2", Begin::Complete).await, engine("v2", Begin::Complete).await);
    let host = host(vec![
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &silent),
        decode_of("v1", "decode-2", &sound),
        decode_of("v2", "decode-3", &other),
        decode_of("v2", "decode-4", &another),
    ])
    .await;

    let calls = (0..CALLS).map(|_| async { call(host.address, &beginning("r1")).await });
    let answers = join_all(calls).await;

    assert!(silent.request_count() > 0, "the silent engine was never chosen");
    for answer in &answers {
        assert_eq!((answer.complete, builds(answer).len()), (true, 1), "{}", answer.body);
    }
}

// Guards against a stream that goes on at another build since no engine of its own is left.
#[tokio::test]
async fn a_stream_whose_build_has_no_other_engine_breaks_off() {
    let prefiller = Backend::start(answer_prefill).await;
    let (breaking, other) = (engine("v1", Begin::Break).await, engine("v2", Begin::Complete).await);
    let host = host(vec![
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &breaking),
        decode_of("v2", "decode-2", &other),
    ])
    .await;

    for _ in 0..CALLS {
        let answer = call(host.address, &beginning("r1")).await;

        assert!(builds(&answer).len() <= 1, "{}", answer.body);
    }
    assert!(breaking.request_count() > 0, "the engine that breaks off was never chosen");
}

// Guards against a stream that its caller resumes at the host that relayed it, and that goes on at another build.
#[tokio::test]
async fn a_stream_that_its_caller_resumes_goes_on_at_the_build_that_began_it() {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, second) = (engine("v1", Begin::Hang).await, engine("v2", Begin::Hang).await);
    let farther = Entry { failure_domain: "other".into(), ..decode_of("v1", "decode-1", &first) };
    let host = host(vec![prefill("prefill-1", &prefiller), farther]).await;
    let (build, connection) = begin(host.address, "a1").await;
    list(&host, decode_of("v2", "decode-2", &second));
    drop(connection);

    let answer = call(host.address, &resuming("b1", "a1")).await;

    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(builds(&answer), BTreeSet::from([&*build]));
}

// Guards against a stream whose host is killed, and that its caller resumes at another host where it goes on at another build.
#[tokio::test]
async fn a_stream_of_a_killed_host_goes_on_elsewhere_at_the_build_that_began_it() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(4, &servers).await;
    let mut begun = Vec::new();
    for n in 0..8 {
        begun.push(begin(fleet.address(0), &format!("a{n}")).await);
    }
    fleet.until_told(begun.len()).await;

    fleet.members[0].kill();

    for (n, (build, _)) in begun.iter().enumerate() {
        let text = resuming(&format!("b{n}"), &format!("a{n}"));
        let answer = call(fleet.address(1 + n % 3), &text).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(builds(&answer), BTreeSet::from([&**build]));
    }
}

// Guards against a host that has just started, knows no stream, and has one go on at any build.
#[tokio::test]
async fn a_host_that_has_restarted_asks_the_others_which_build_began_a_stream() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(4, &servers).await;
    let mut begun = Vec::new();
    for n in 0..8 {
        begun.push(begin(fleet.address(0), &format!("a{n}")).await);
    }
    fleet.until_told(begun.len()).await;

    fleet.restart(0..2).await;

    for (n, (build, _)) in begun.iter().enumerate() {
        let text = resuming(&format!("b{n}"), &format!("a{n}"));
        let answer = call(fleet.address(n % 2), &text).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(builds(&answer), BTreeSet::from([&**build]));
    }
}

// Guards against a stream that goes on at any build at hosts of another cell, which the host that began it reports nothing to.
#[tokio::test]
async fn a_stream_goes_on_at_a_host_of_another_cell_at_the_build_that_began_it() {
    let (_backends, servers) = two_builds().await;
    let client = start_store().await;
    // The other hosts of the fleet are listed, but don't run.
    let others: Vec<Arc<str>> = (0..32).map(|n| format!("z-host-{n}").into()).collect();
    for other in &others {
        let entry = json!(host_at(([127, 0, 0, 1], 9).into()));
        client.create(HOSTS, other, &entry).await.unwrap();
    }
    let names: Vec<Arc<str>> = ["keeps", "begins", "resumes"].map(Arc::from).into();
    let mut hosts = Vec::new();
    for name in &names {
        let host = host_with_settings(settings(name), servers.to_vec()).await;
        let registration = register(&host.app, &client).await;
        // The hosts that start later read its entry with their first list.
        while client.read(HOSTS, name).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
        hosts.push((host, registration));
    }
    for (host, _) in &hosts {
        wait_until(|| host.app.cell().index_and_count().1 == 2).await;
    }
    // A stream whose keepers, as both hosts see them, include the first one.
    let all = || others.iter().chain(&names).cloned();
    let keeps = |id: &String, host: usize| {
        let keepers = Keepers::new(all().filter(|name| *name != names[host]));
        keepers.of(Stream::begun_by(id)).any(|keeper| *keeper == names[0])
    };
    let mut ids = (0..).map(|n| format!("a{n}")).filter(|id| keeps(id, 1) && keeps(id, 2));
    let began = ids.next().unwrap();
    let cells = [1, 2].map(|n: usize| hosts[n].0.app.cell().index_and_count().0);

    let (build, connection) = begin(hosts[1].0.address, &began).await;
    wait_until(|| hosts[0].0.app.metrics.origins.get() == 1).await;
    drop(connection);
    let answer = call(hosts[2].0.address, &resuming("b1", &began)).await;

    assert_ne!(cells[0], cells[1]);
    assert_eq!((answer.status, builds(&answer)), (200, BTreeSet::from([&*build])), "{answer:?}");
}

// Guards against a stream of which neither a host nor the store knows which build began it, and that goes on at any.
#[tokio::test]
async fn a_stream_of_which_nobody_knows_the_build_is_refused_at_once_while_several_serve() {
    let (_backends, servers) = two_builds().await;
    let mut fleet = Fleet::start(3, &servers).await;
    control(fleet.store, "copy").await;
    let (_, connection) = begin(fleet.address(0), "a1").await;
    fleet.until_told(1).await;
    (0..3).for_each(|host| fleet.members[host].kill());
    // A record that was written in time is lost.
    control(fleet.store, "restore").await;
    fleet.restart(0..3).await;
    fleet.until_connected().await;
    drop(connection);

    let asked_at = Instant::now();
    let answer = call(fleet.address(1), &resuming("b1", "a1")).await;

    assert!(is_refused_with_time(&answer), "{answer:?}");
    assert!(asked_at.elapsed() < Duration::from_millis(1_500), "{:?}", asked_at.elapsed());
}

// Guards against refusing what is no question: all engines are of one build, and were when the stream began.
#[tokio::test]
async fn a_stream_that_nobody_knows_goes_on_where_only_one_build_has_served() {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, second) = (engine("v1", Begin::Hang).await, engine("v1", Begin::Hang).await);
    let servers = [
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &first),
        decode_of("v1", "decode-2", &second),
    ];
    let mut fleet = Fleet::start(3, &servers).await;
    fleet.until_builds_are_stored().await;
    let (_, connection) = begin(fleet.address(0), "a1").await;
    fleet.restart(0..3).await;
    drop(connection);

    let answer = call(fleet.address(1), &resuming("b1", "a1")).await;

    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}

// Guards against a stream that goes on at the only build that is listed, though it began at one whose engines have just left.
#[tokio::test]
async fn a_stream_does_not_go_on_at_the_build_that_is_left_after_a_release() {
    let prefiller = Backend::start(answer_prefill).await;
    let (old, new) = (engine("v1", Begin::Hang).await, engine("v2", Begin::Complete).await);
    let servers = [prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &old)];
    let mut fleet = Fleet::start(3, &servers).await;
    let (_, connection) = begin(fleet.address(0), "a1").await;
    fleet.put(&decode_of("v2", "decode-2", &new));
    fleet.remove("decode-1");
    fleet.members[0].kill();
    drop(connection);

    let answer = call(fleet.address(1), &resuming("b1", "a1")).await;

    assert!(is_refused_with_time(&answer), "{answer:?}");
    assert_eq!(new.request_count(), 0);
}

// Guards against callers that wait for an engine of a build that has none.
#[tokio::test]
async fn a_stream_whose_build_has_left_is_refused_at_once_with_a_time() {
    let prefiller = Backend::start(answer_prefill).await;
    let (old, new) = (engine("v1", Begin::Hang).await, engine("v2", Begin::Complete).await);
    let servers = vec![prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &old)];
    let host = host(servers).await;
    let (_, connection) = begin(host.address, "a1").await;
    list(&host, decode_of("v2", "decode-2", &new));
    host.app.apply_change(Change::Remove("decode-1".into()));
    drop(connection);

    let asked_at = Instant::now();
    let answer = call(host.address, &resuming("b1", "a1")).await;

    assert!(is_refused_with_time(&answer), "{answer:?}");
    assert!(asked_at.elapsed() < Duration::from_millis(500), "{:?}", asked_at.elapsed());
    wait_until(|| old.disconnects() == 1).await;
}

// Guards against new streams that wait or fail because a stream that is bound to a build can't be placed.
#[tokio::test]
async fn a_new_stream_is_served_by_any_build() {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, second) =
        (engine("v1", Begin::Complete).await, engine("v2", Begin::Complete).await);
    let host = host(vec![
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &first),
        decode_of("v2", "decode-2", &second),
    ])
    .await;

    let calls = (0..CALLS).map(|_| async { call(host.address, &beginning("r1")).await });
    let answers = join_all(calls).await;

    assert!(answers.iter().all(|answer| answer.complete));
    assert!(first.request_count() > 0 && second.request_count() > 0);
}

// Guards against a process that has started again under its name, and whose streams count as those of the build before.
#[tokio::test]
async fn an_engine_that_has_started_again_serves_and_goes_on_with_no_stream_of_the_process_before()
{
    let prefiller = Backend::start(answer_prefill).await;
    let (restarted, sound) = (engine("v2", Begin::Hang).await, engine("v1", Begin::Hang).await);
    let servers = vec![
        prefill("prefill-1", &prefiller),
        decode_of("v1", "decode-1", &restarted),
        decode_of("v1", "decode-2", &sound),
    ];
    restarted.set_born(2);
    let host = host(servers).await;

    let mut begun = Vec::new();
    for n in 0..8 {
        begun.push(begin(host.address, &format!("a{n}")).await);
    }
    let mut answers = Vec::new();
    for n in 0..8 {
        answers.push(call(host.address, &resuming(&format!("b{n}"), &format!("a{n}"))).await);
    }

    for ((build, _), answer) in begun.iter().zip(&answers) {
        assert_eq!((answer.status, builds(answer)), (200, BTreeSet::from([&**build])));
    }
    assert!(begun.iter().any(|(build, _)| build == "v2"), "it got no new stream");
}

// Guards against streams that can't go on, though the entry of the engine that began them has said by now what it is.
#[tokio::test]
async fn a_stream_of_an_engine_that_has_started_again_goes_on_at_its_build_once_its_entry_says_so()
{
    let prefiller = Backend::start(answer_prefill).await;
    let (restarted, other) = (engine("v2", Begin::Hang).await, engine("v2", Begin::Hang).await);
    restarted.set_born(2);
    let servers = vec![prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &restarted)];
    let host = host(servers).await;
    let (_, connection) = begin(host.address, "a1").await;

    list(&host, Entry { born: Some(2), ..decode_of("v2", "decode-1", &restarted) });
    list(&host, decode_of("v2", "decode-2", &other));
    host.app.apply_change(Change::Remove("decode-1".into()));
    drop(connection);
    let answer = call(host.address, &resuming("b1", "a1")).await;

    assert_eq!((answer.status, other.request_count()), (200, 1), "{answer:?}");
}

// Guards against connections whose process was not asked, and against reports that are asked for with each request.
#[tokio::test]
async fn an_engine_is_asked_for_its_report_once_on_each_connection() {
    let prefiller = Backend::start(answer_prefill).await;
    let decoder = engine("v1", Begin::Complete).await;
    let servers = vec![prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &decoder)];
    let host = host(servers).await;

    call(host.address, &beginning("r1")).await;
    let calls = (0..CALLS).map(|_| async { call(host.address, &beginning("r1")).await });
    let mut answers = join_all(calls).await;
    answers.push(call(host.address, &beginning("r1")).await);

    assert!(answers.iter().all(|answer| answer.complete));
    assert!(decoder.connections() > 1);
    assert_eq!(decoder.reports(), decoder.connections());
    assert_eq!(prefiller.reports(), prefiller.connections());
}

// Guards against streams that began while one build served, and of which no other host is told when a second one comes.
#[tokio::test]
async fn the_keepers_of_streams_under_way_are_told_when_a_second_build_comes() {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, second) = (engine("v1", Begin::Hang).await, engine("v2", Begin::Hang).await);
    let servers = [prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &first)];
    let mut fleet = Fleet::start(3, &servers).await;
    let (build, connection) = begin(fleet.address(0), "a1").await;

    fleet.put(&decode_of("v2", "decode-2", &second));
    fleet.until_told(1).await;
    fleet.members[0].kill();
    drop(connection);
    let answer = call(fleet.address(1), &resuming("b1", "a1")).await;

    assert_eq!((answer.status, builds(&answer)), (200, BTreeSet::from([&*build])), "{answer:?}");
}

// Guards against streams of a new build that another host, which does not know it, takes for those of the only build.
#[tokio::test]
async fn no_resumable_stream_begins_at_a_build_before_the_other_hosts_know_it() {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, second) =
        (engine("v1", Begin::Complete).await, engine("v2", Begin::Complete).await);
    let former = decode_of("v1", "decode-1", &first);
    let fleet = Fleet::start(3, &[prefill("prefill-1", &prefiller), former.clone()]).await;
    let address = fleet.address(0);
    let call_streams = async || {
        let calls =
            (0..CALLS).map(|n| async move { call(address, &beginning(&format!("a{n}"))).await });
        join_all(calls).await
    };

    fleet.members[0].put(&decode_of("v2", "decode-2", &second));
    let beside = call_streams().await;
    fleet.members[0].put(&Entry { leaving: true, ..former });
    let alone = call(address, &beginning("b1")).await;
    let (answers_beside, reached) =
        (beside.iter().filter(|answer| answer.complete), second.request_count());
    fleet.members[1..].iter().for_each(|member| member.put(&decode_of("v2", "decode-2", &second)));
    let calling = async {
        while !call(address, &beginning("c1")).await.complete {
            sleep(Duration::from_millis(20)).await;
        }
    };

    assert_eq!((answers_beside.count(), reached), (CALLS, 0));
    assert!(is_refused_with_time(&alone), "{alone:?}");
    // All hosts know it now, so no further time has to pass.
    timeout(Duration::from_secs(3), calling).await.expect("streams at the new build");
}

// Guards against streams that are lost to their callers after a kill of all hosts, while new ones take all that accrues.
#[tokio::test]
async fn a_stream_goes_on_though_new_ones_want_the_whole_rate_after_all_hosts_were_killed() {
    let prefiller = Backend::start(answer_prefill).await;
    let (first, next) = (engine("v1", Begin::Hang).await, engine("v1", Begin::Complete).await);
    let servers = [prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &first)];
    let mut fleet = Fleet::start(3, &servers).await;
    fleet.until_builds_are_stored().await;
    let (_, connection) = begin(fleet.address(0), "a1").await;
    fleet.remove("decode-1");
    fleet.put(&decode_of("v1", "decode-2", &next));
    let (window, accrual_time) = (Duration::from_secs(8), Duration::from_secs(1));
    let allowance = allowance::Settings { window, accrual_time, ..allowance::Settings::default() };
    fleet.restart_with_limits(allowance).await;
    fleet.until_connected().await;
    drop(connection);
    // A tenth of the organisation's rate per second.
    let large = |text: String| text.replace("tokens: 100,50", "tokens: 900,100");

    let flood = Instant::now();
    let (mut admitted, mut refused) = (0, false);
    for n in 0.. {
        let answer = call(fleet.address(n % 3), &large(beginning(&format!("n{n}")))).await;
        admitted += u32::from(answer.status == 200);
        refused = answer.status == 429;
        if refused && flood.elapsed() > Duration::from_secs(3) {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let answer = call(fleet.address(1), &large(resuming("b1", "a1"))).await;

    assert!(admitted > 10 && refused, "{admitted}");
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}

// Guards against streams that began while one build was known to serve, and of which no other host is told when that can't be
// relied on any more: others that hear as little can't infer their build.
#[tokio::test]
async fn the_keepers_of_streams_under_way_are_told_when_a_host_no_longer_knows_the_only_build() {
    let prefiller = Backend::start(answer_prefill).await;
    let decoder = engine("v1", Begin::Hang).await;
    let servers = [prefill("prefill-1", &prefiller), decode_of("v1", "decode-1", &decoder)];
    let mut fleet = Fleet::start(4, &servers).await;
    let (_, connection) = begin(fleet.address(0), "a1").await;
    let origins = |fleet: &Fleet| fleet.members[1].host.app.metrics.origins.get();
    let told_before = origins(&fleet);

    // Half of the fleet is no majority, and the store confirms nothing either.
    set_down(fleet.store, true).await;
    fleet.members[2..].iter_mut().for_each(Member::kill);
    wait_until(|| origins(&fleet) == 1).await;
    drop(connection);

    assert_eq!(told_before, 0);
}
