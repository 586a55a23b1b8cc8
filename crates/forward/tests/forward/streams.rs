//! Requests to model engines.

use crate::fixture::backend::{
    Backend, Seen, Step, chunk, event, not_run, prefills, send, stream_end, stream_head,
};
use crate::fixture::caller::{call, connect, generation};
use crate::fixture::{Host, decode, host, prefill, until};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Events after the one that the caller has, up to the last.
fn generate(seen: &Seen, last: u64) -> Vec<Step> {
    let after: u64 = seen.header("last-event-id").map_or(0, |after| after.parse().unwrap());
    let mut steps = vec![stream_head(seen)];
    steps.extend((after + 1..=last).map(event));
    steps
}

fn whole(seen: &Seen) -> Vec<Step> {
    let mut steps = generate(seen, 4);
    steps.push(stream_end());
    steps
}

/// Two events, a part of the third, and the connection is reset.
fn breaks(seen: &Seen) -> Vec<Step> {
    let mut steps = generate(seen, 2);
    steps.extend([chunk("id: 3\ndata: ev"), Step::Wait(Duration::from_millis(20)), Step::Reset]);
    steps
}

/// An engine that prefills long after it was expected to.
fn prefills_late(seen: &Seen) -> Vec<Step> {
    let mut steps = vec![Step::Wait(Duration::from_millis(900))];
    steps.extend(prefills(seen));
    steps
}

fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

async fn engines(read: &Backend, made: &[&Backend]) -> Host {
    let mut servers = vec![prefill("prefill-1", read)];
    servers.extend(made.iter().enumerate().map(|(n, made)| decode(&format!("decode-{n}"), made)));
    host(servers).await
}

#[tokio::test]
async fn a_prompt_is_prefilled_at_one_engine_and_generated_at_another() {
    let (read, made) = (Backend::start(prefills).await, Backend::start(whole).await);
    let host = engines(&read, &[&made]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, events(1, 4));
    assert_eq!(read.seen()[0].header("x-chestnutrack-step"), Some("prefill"));
    let kv = format!("{}/kept-1", read.address);
    assert_eq!(made.seen()[0].header("x-chestnutrack-kv"), Some(&*kv));
    assert_eq!((read.count(), made.count()), (1, 1));
}

#[tokio::test]
async fn events_pass_as_they_come() {
    let read = Backend::start(prefills).await;
    let made = Backend::start(|seen| vec![stream_head(seen), event(1), Step::Hang]).await;
    let host = engines(&read, &[&made]).await;
    let mut connection = connect(host.address).await;

    connection.write_all(generation("/digest/7").as_bytes()).await.unwrap();
    let mut got = Vec::new();
    while !String::from_utf8_lossy(&got).contains("event 1") {
        use tokio::io::AsyncReadExt;
        got.push(connection.read_u8().await.unwrap());
    }
}

#[tokio::test]
async fn a_stream_that_breaks_ends_broken_after_whole_events_and_never_as_complete() {
    let (read, made) = (Backend::start(prefills).await, Backend::start(breaks).await);
    let other = Backend::start(whole).await;
    let host = engines(&read, &[&made]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((&*answer.body, answer.whole), (&*events(1, 2), false));
    assert_eq!(other.count(), 0);
}

#[tokio::test]
async fn a_stream_that_may_be_resumed_goes_on_elsewhere_without_a_gap_or_a_repeat() {
    let read = Backend::start(prefills).await;
    let broken = Backend::start(breaks).await;
    let sound = Backend::start(whole).await;
    let host = engines(&read, &[&broken, &sound]).await;

    for _ in 0..6 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert_eq!((&*answer.body, answer.whole), (&*events(1, 4), true));
    }
    assert!(broken.count() >= 1, "never chosen");
    let resumed = sound.seen().into_iter().filter(|seen| seen.header("last-event-id") == Some("2"));
    assert_eq!(resumed.count(), broken.count());
}

#[tokio::test]
async fn events_out_of_order_are_not_passed() {
    let read = Backend::start(prefills).await;
    let wrong = |seen: &Seen| vec![stream_head(seen), event(1), event(3), stream_end()];
    let made = Backend::start(wrong).await;
    let host = engines(&read, &[&made]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((&*answer.body, answer.whole), (&*events(1, 1), false));
}

#[tokio::test]
async fn a_caller_that_leaves_frees_what_was_prefilled_and_ends_the_generation() {
    let read = Backend::start(prefills).await;
    let made = Backend::start(|_| vec![Step::Hang]).await;
    let host = engines(&read, &[&made]).await;
    let mut connection = connect(host.address).await;
    connection.write_all(generation("/digest/7").as_bytes()).await.unwrap();
    until(|| made.count() == 1).await;

    drop(connection);

    until(|| read.seen().iter().any(|seen| seen.line == "DELETE /v1/handles/kept-1")).await;
    until(|| made.left() == 1).await;
}

#[tokio::test]
async fn a_prompt_that_is_prefilled_goes_to_another_engine_where_the_first_can_not_be_reached() {
    let (read, made) = (Backend::start(prefills).await, Backend::start(whole).await);
    let gone = Backend::start(whole).await;
    let mut nowhere = decode("decode-9", &gone);
    // Nothing listens there.
    nowhere.address.set_port(1);
    let host = host(vec![prefill("prefill-1", &read), decode("decode-0", &made), nowhere]).await;

    for _ in 0..4 {
        let answer = call(host.address, &generation("/digest/7")).await;

        assert_eq!((answer.status, answer.whole), (200, true));
    }
    assert_eq!(read.count(), 4);
}

#[tokio::test]
async fn an_engine_without_room_refuses_and_the_caller_is_told_when_to_come_back() {
    let (read, full) = (Backend::start(prefills).await, Backend::start(not_run).await);
    let host = engines(&read, &[&full]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    until(|| read.seen().iter().any(|seen| seen.line.starts_with("DELETE"))).await;
}

#[tokio::test]
async fn a_generation_that_may_have_begun_is_not_run_again() {
    let read = Backend::start(prefills).await;
    let lost = Backend::start(|_| vec![Step::Reset]).await;
    let other = Backend::start(|_| vec![Step::Reset]).await;
    let host = engines(&read, &[&lost, &other]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!(answer.status, 502);
    assert_eq!(lost.count() + other.count(), 1);
}

#[tokio::test]
async fn a_generation_that_may_have_begun_is_never_said_not_to_have_run() {
    let read = Backend::start(prefills).await;
    let lost = Backend::start(|_| vec![Step::Reset]).await;
    let full = Backend::start(not_run).await;
    let host = engines(&read, &[&lost, &full]).await;

    while lost.count() == 0 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert!(lost.count() == 0 || answer.status == 502, "{answer:?}");
    }
}

#[tokio::test]
async fn a_prefill_whose_answer_is_lost_is_asked_of_another_engine() {
    let mute = Backend::start(|_| vec![Step::Hang]).await;
    let (read, made) = (Backend::start(prefills).await, Backend::start(whole).await);
    let servers = vec![prefill("prefill-1", &mute), prefill("prefill-2", &read)];
    let host = host(servers.into_iter().chain([decode("decode-1", &made)]).collect()).await;

    while mute.count() == 0 {
        let answer = call(host.address, &generation("/digest/7")).await;

        assert_eq!((answer.status, answer.whole), (200, true));
    }
}

#[tokio::test]
async fn a_prefill_that_is_overdue_is_waited_for_where_no_repeat_is_left() {
    let slow = Backend::start(prefills_late).await;
    let made = Backend::start(whole).await;
    let host = engines(&slow, &[&made]).await;
    host.app.set_retry_burst(0);

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.whole, slow.count()), (200, true, 1));
}

#[tokio::test]
async fn a_prefill_that_is_overdue_is_waited_for_where_no_other_engine_is() {
    let slow = Backend::start(prefills_late).await;
    let made = Backend::start(whole).await;
    let host = engines(&slow, &[&made]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.whole, slow.count()), (200, true, 1));
}

#[tokio::test]
async fn a_prompt_that_the_only_engine_does_not_prefill_is_served_well_before_the_request_s_time() {
    let mute = Backend::start(|_| vec![Step::Hang]).await;
    let made = Backend::start(whole).await;
    let host = engines(&mute, &[&made]).await;

    // Its route gives it ten seconds.
    let within = Duration::from_secs(8);
    let answer = tokio::time::timeout(within, call(host.address, &generation("/digest/7"))).await;

    // The engine that generates prefills it.
    let answer = answer.expect("an answer before the time is over");
    assert_eq!((answer.status, answer.whole, made.count()), (200, true, 1));
}

#[tokio::test]
async fn a_prefill_that_never_comes_is_given_up_with_a_time_to_come_back() {
    let mute = Backend::start(|_| vec![Step::Hang]).await;
    let made = Backend::start(whole).await;
    let host = engines(&mute, &[&made]).await;
    host.app.set_retry_burst(0);

    let within = Duration::from_secs(8);
    let answer = tokio::time::timeout(within, call(host.address, &generation("/digest/7"))).await;

    let answer = answer.expect("an answer before the time is over");
    assert_eq!((answer.status, mute.count(), made.count()), (503, 1, 0));
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn an_overdue_prefill_that_comes_before_the_repeated_one_is_used() {
    let late = Backend::start(prefills_late).await;
    let (mute, made) = (Backend::start(|_| vec![Step::Hang]).await, Backend::start(whole).await);
    let servers = vec![prefill("prefill-1", &late), prefill("prefill-2", &mute)];
    let host = host(servers.into_iter().chain([decode("decode-1", &made)]).collect()).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!((late.count(), made.count()), (1, 1));
}

#[tokio::test]
async fn a_stream_that_may_be_resumed_begins_elsewhere_where_its_engine_is_silent() {
    let read = Backend::start(prefills).await;
    let (mute, made) = (Backend::start(|_| vec![Step::Hang]).await, Backend::start(whole).await);
    let host = engines(&read, &[&mute, &made]).await;

    while mute.count() == 0 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert_eq!((&*answer.body, answer.whole), (&*events(1, 4), true));
    }
}

#[tokio::test]
async fn a_prompt_whose_engine_was_replaced_is_generated_at_another_from_the_same_memory() {
    let read = Backend::start(prefills).await;
    let stranger =
        Backend::start(|_| vec![send("HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n")]).await;
    let made = Backend::start(whole).await;
    let host = engines(&read, &[&stranger, &made]).await;

    let mut calls = 0;
    while stranger.count() == 0 {
        let answer = call(host.address, &generation("/digest/7")).await;
        calls += 1;

        assert_eq!((answer.status, answer.whole), (200, true));
    }
    assert_eq!((read.count(), made.count()), (calls, calls));
}

#[tokio::test]
async fn a_server_that_another_replaced_is_asked_once() {
    let read = Backend::start(prefills).await;
    let stranger =
        Backend::start(|_| vec![send("HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n")]).await;
    let made = Backend::start(whole).await;
    let host = engines(&read, &[&stranger, &made]).await;

    for _ in 0..8 {
        call(host.address, &generation("/recap/7")).await;
    }

    assert!(stranger.count() <= 1, "{}", stranger.count());
}
