//! Tests of how another engine takes over a request whose engine is silent.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, chunk, complete_stream, event, events,
    refuse_as_not_run, stream_end, stream_events, stream_head,
};
use crate::fixture::caller::{Answer, call, connect, generation};
use crate::fixture::{
    Host, config, decode, engines, host_with, prefill, unconnectable_address, wait_until,
};
use chestnutrack_core::dispatch::Change;
use chestnutrack_forward::config::{Config, Kind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

/// Longest time for which two engines may have one request.
const OVERLAP_MAX: Duration = Duration::from_millis(400);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns whether a request continues a stream at another engine.
fn is_resumed(request: &ReceivedRequest) -> bool {
    request.header("last-event-id").is_some()
}

/// Sends two events, then the given steps.
fn begin_stream(request: &ReceivedRequest, rest: impl IntoIterator<Item = Step>) -> Vec<Step> {
    let begin = [stream_head(request), event(1), event(2)];
    begin.into_iter().chain(rest).collect()
}

/// Sends two events, falls silent, and then sends the rest of the stream.
fn pause_in_stream(request: &ReceivedRequest, silence: Duration) -> Vec<Step> {
    begin_stream(request, [Step::Wait(silence), event(3), event(4), stream_end()])
}

/// Answers a prefill, after a delay if it is to continue a stream.
fn answer_resumed_prefill_late(
    delay: Duration,
) -> impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync {
    move |request| {
        let delay = if is_resumed(request) { delay } else { Duration::ZERO };
        [Step::Wait(delay)].into_iter().chain(answer_prefill(request)).collect()
    }
}

/// Engines that run one script, and a host that uses them.
struct Fleet {
    prefiller: Backend,
    decoders: Vec<Backend>,
    host: Host,
}

impl Fleet {
    async fn start(
        decoders: usize,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> Fleet {
        Fleet::with_prefiller(answer_prefill, decoders, script).await
    }

    async fn with_prefiller(
        prefill: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
        count: usize,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> Fleet {
        let prefiller = Backend::start(prefill).await;
        let mut decoders = Vec::new();
        for _ in 0..count {
            decoders.push(Backend::start(script.clone()).await);
        }
        let host = engines(&prefiller, &decoders.iter().collect::<Vec<_>>()).await;
        Fleet { prefiller, decoders, host }
    }

    /// Returns the number of requests that reached engines that generate.
    fn request_count(&self) -> usize {
        self.decoders.iter().map(Backend::request_count).sum()
    }

    /// Returns the number of connections to hanging engines that the host closed.
    fn disconnects(&self) -> u32 {
        self.decoders.iter().map(Backend::disconnects).sum()
    }

    /// Sends a request for a stream that may be resumed.
    async fn call(&self) -> Answer {
        call(self.host.address, &generation("/recap/7")).await
    }
}

/// Returns the configuration with changes.
fn changed_config(change: impl FnOnce(&mut Config)) -> Config {
    let mut config = config();
    change(&mut config);
    config
}

// Guards against closing a silent engine that goes on while the other one, which has just got the request, hangs.
#[tokio::test]
async fn a_silent_engine_that_goes_on_just_after_another_got_the_request_keeps_it() {
    let fleet = Fleet::start(2, |request| match is_resumed(request) {
        true => vec![Step::Hang],
        false => pause_in_stream(request, millis(1_350)),
    })
    .await;

    let answer = fleet.call().await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
}

// Guards against closing a silent engine for another one that answers with an error.
#[tokio::test]
async fn a_silent_engine_is_kept_if_the_other_one_answers_with_an_error() {
    let fleet = Fleet::start(2, |request| match is_resumed(request) {
        true => vec![answer(request, "500 Error", "broken")],
        false => pause_in_stream(request, millis(1_500)),
    })
    .await;

    let answer = fleet.call().await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    assert_eq!(fleet.request_count(), 2);
}

// Guards against an error in place of an answer that a sound engine gives after a silence before its head.
#[tokio::test]
async fn an_engine_silent_before_its_head_is_kept_if_the_other_one_answers_with_an_error() {
    let requests = Arc::new(AtomicU32::new(0));
    let fleet = Fleet::start(2, move |request| match requests.fetch_add(1, Ordering::Relaxed) {
        0 => [Step::Wait(millis(1_500))].into_iter().chain(complete_stream(request)).collect(),
        _ => vec![answer(request, "500 Error", "broken")],
    })
    .await;

    let answer = fleet.call().await;

    assert_eq!((answer.status, &*answer.body, answer.complete), (200, &*events(1, 4), true));
}

// Guards against closing a silent engine while the request waits for a connection to another one.
#[tokio::test]
async fn a_silent_engine_is_kept_while_nothing_was_sent_to_the_other_one() {
    let prefiller = Backend::start(answer_prefill).await;
    let script = |request: &ReceivedRequest| match is_resumed(request) {
        true => refuse_as_not_run(request),
        false => pause_in_stream(request, millis(1_800)),
    };
    let (one, other) = (Backend::start(script).await, Backend::start(script).await);
    let servers = vec![
        prefill("prefill-1", &prefiller),
        decode("decode-0", &one),
        decode("decode-1", &other),
    ];
    // One connection of this host to each engine.
    let config = changed_config(|config| config.services[1].connections = 1);
    let host = host_with(config, servers).await;
    let (unconnectable, _connections) = unconnectable_address().await;
    let mut third = decode("decode-9", &one);
    third.address = unconnectable;

    let address = host.address;
    let calls = [0, 200].map(|delay| {
        tokio::spawn(async move {
            sleep(millis(delay)).await;
            call(address, &generation("/recap/7")).await
        })
    });
    wait_until(|| one.request_count() == 1 && other.request_count() == 1).await;
    host.app.apply_change(Change::Put(third.name.clone(), third));

    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
}

// Guards against giving up another engine, for which a retry was spent, when the silent one breaks off.
#[tokio::test]
async fn an_engine_prepared_for_a_silent_one_takes_over_if_that_one_breaks_off() {
    let prefiller = answer_resumed_prefill_late(millis(500));
    let fleet = Fleet::with_prefiller(prefiller, 2, |request| match is_resumed(request) {
        true => complete_stream(request),
        false => begin_stream(request, [Step::Wait(millis(1_400)), Step::Reset]),
    })
    .await;
    // The host's share is two retries: those of one prefill and one generation.
    fleet.host.app.set_retry_burst(3);

    let answer = fleet.call().await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
}

// Guards against closing a silent engine, which goes on later, for one that is silent too and then refuses.
#[tokio::test]
async fn a_silent_engine_is_kept_if_the_other_one_is_silent_and_then_refuses() {
    let prefiller = Backend::start(answer_prefill).await;
    let script = |request: &ReceivedRequest| match is_resumed(request) {
        true => [Step::Wait(millis(500))].into_iter().chain(refuse_as_not_run(request)).collect(),
        false => pause_in_stream(request, millis(2_200)),
    };
    let (one, other) = (Backend::start(script).await, Backend::start(script).await);
    let servers = vec![
        prefill("prefill-1", &prefiller),
        decode("decode-0", &one),
        decode("decode-1", &other),
    ];
    let config = changed_config(|config| config.routes[5].attempts = 3);
    let host = host_with(config, servers).await;
    // The host's share is two retries: those of one prefill and one generation.
    host.app.set_retry_burst(3);

    let answer = call(host.address, &generation("/recap/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
}

// Guards against retries and prefills in vain for an engine that falls silent again and again.
#[tokio::test]
async fn silences_that_end_do_not_use_up_the_retries_of_a_stream() {
    let prefiller = answer_resumed_prefill_late(millis(600));
    let fleet = Fleet::with_prefiller(prefiller, 2, |request| match is_resumed(request) {
        true => stream_events(request, 8).into_iter().chain([stream_end()]).collect(),
        false => {
            let pauses = (3..=5).flat_map(|id| [Step::Wait(millis(1_500)), event(id)]);
            begin_stream(request, pauses.chain([Step::Wait(millis(50)), Step::Reset]))
        }
    })
    .await;

    let answer = fleet.call().await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 8), true));
}

// Guards against counting a server that is gone as an attempt, so that the request may go nowhere else.
#[tokio::test]
async fn a_server_that_was_replaced_is_no_attempt_when_an_engine_is_silent() {
    let misdirected = Arc::new(AtomicU32::new(0));
    let fleet = Fleet::start(3, move |request| match is_resumed(request) {
        true if misdirected.fetch_add(1, Ordering::Relaxed) == 0 => {
            vec![answer(request, "421 No", "")]
        }
        true => complete_stream(request),
        false => {
            let rest = [Step::Wait(millis(1_700)), event(3), Step::Wait(millis(50)), Step::Reset];
            begin_stream(request, rest)
        }
    })
    .await;

    let answer = fleet.call().await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
}

// Guards against joining the answers of two runs on a route that may be repeated but not resumed.
#[tokio::test]
async fn answers_of_two_runs_of_an_idempotent_generation_are_not_joined() {
    let prefiller = Backend::start(answer_prefill).await;
    let requests = Arc::new(AtomicU32::new(0));
    let script = move |request: &ReceivedRequest| {
        let rest = match requests.fetch_add(1, Ordering::Relaxed) {
            0 => [Step::Wait(millis(50)), Step::Reset],
            _ => [chunk("data: b\n\n"), stream_end()],
        };
        [stream_head(request), chunk("data: a\n\n")].into_iter().chain(rest).collect()
    };
    let (one, other) = (Backend::start(script.clone()).await, Backend::start(script).await);
    let config = changed_config(|config| {
        let mut recap = config.routes.iter().find(|route| &*route.name == "recap").unwrap().clone();
        (recap.prefix, recap.kind) = ("/fetch/".into(), Kind::Idempotent);
        config.routes.push(recap);
    });
    let servers = vec![
        prefill("prefill-1", &prefiller),
        decode("decode-0", &one),
        decode("decode-1", &other),
    ];
    let host = host_with(config, servers).await;

    let answer = call(host.address, &generation("/fetch/7")).await;

    assert_eq!((&*answer.body, answer.complete), ("data: a\n\n", false));
}

// Guards against refusing new requests because of an engine that was silent, was kept and has gone on.
#[tokio::test]
async fn an_engine_that_was_kept_and_went_on_gets_new_requests() {
    let prefiller = Backend::start(answer_prefill).await;
    let requests = Arc::new(AtomicU32::new(0));
    let decoder = Backend::start(move |request| match requests.fetch_add(1, Ordering::Relaxed) {
        0..4 => {
            let rest = [Step::Wait(millis(2_600)), event(3), Step::Wait(millis(900)), event(4)];
            begin_stream(request, rest.into_iter().chain([stream_end()]))
        }
        _ => complete_stream(request),
    })
    .await;
    let config = changed_config(|config| {
        config.routes.iter_mut().for_each(|route| route.attempts = 1);
    });
    let servers = vec![prefill("prefill-1", &prefiller), decode("decode-0", &decoder)];
    let host = host_with(config, servers).await;
    let address = host.address;
    let silent =
        [(); 4].map(|()| tokio::spawn(async move { call(address, &generation("/recap/7")).await }));
    wait_until(|| decoder.request_count() == 4).await;
    // The streams have gone on and have not ended.
    sleep(millis(2_800)).await;

    let answer = call(address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.complete), (200, true));
    for call in silent {
        let answer = call.await.unwrap();
        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
}

// Guards against two engines that work on one request when both are silent.
#[tokio::test]
async fn a_silent_engine_is_closed_soon_after_another_got_the_request_though_that_one_is_silent_too()
 {
    let fleet = Fleet::start(2, |request| match is_resumed(request) {
        true => vec![Step::Hang],
        false => begin_stream(request, [Step::Hang]),
    })
    .await;
    let address = fleet.host.address;
    let call = tokio::spawn(async move { call(address, &generation("/recap/7")).await });
    wait_until(|| fleet.request_count() == 2).await;
    let both_have_it = Instant::now();

    wait_until(|| fleet.disconnects() == 1).await;

    assert!(both_have_it.elapsed() < OVERLAP_MAX, "{:?}", both_have_it.elapsed());
    call.abort();
}

// Guards against work that goes on for a caller that has left while another engine was looked for.
#[tokio::test]
async fn a_caller_that_leaves_while_its_engine_is_silent_ends_all_work() {
    // The caller leaves while the other engine prefills, just after it got the request, and after it took over.
    for (leaves_after, prefill_hangs) in [(1_400, true), (1_330, false), (1_800, false)] {
        let prefiller = move |request: &ReceivedRequest| match is_resumed(request) && prefill_hangs
        {
            true => vec![Step::Hang],
            false => answer_prefill(request),
        };
        let fleet = Fleet::with_prefiller(prefiller, 2, |request| match is_resumed(request) {
            true => vec![Step::Hang],
            false => begin_stream(request, [Step::Hang]),
        })
        .await;
        let mut connection = connect(fleet.host.address).await;
        connection.write_all(generation("/recap/7").as_bytes()).await.unwrap();
        wait_until(|| fleet.request_count() == 1).await;
        sleep(millis(leaves_after)).await;

        drop(connection);

        let engines = if prefill_hangs { 1 } else { 2 };
        wait_until(|| fleet.disconnects() == engines).await;
        wait_until(|| !prefill_hangs || fleet.prefiller.disconnects() == 1).await;
        assert_eq!(fleet.request_count(), engines as usize);
    }
}

// Guards against an event that is lost or repeated when an engine falls silent inside it.
#[tokio::test]
async fn a_silence_inside_an_event_is_bridged_by_either_engine() {
    let goes_on = vec![Step::Wait(millis(1_500)), chunk("ent 3\n\n"), event(4), stream_end()];
    for (rest, prefill_delay, retry_burst, requests) in [
        // No retry is left.
        (goes_on.clone(), 0, 0, 1),
        // The silent engine goes on while the other one prefills.
        (goes_on, 1_000, 20, 1),
        // The other engine takes over.
        (vec![Step::Hang], 0, 20, 2),
    ] {
        let prefiller = answer_resumed_prefill_late(millis(prefill_delay));
        let fleet = Fleet::with_prefiller(prefiller, 2, move |request| match is_resumed(request) {
            true => complete_stream(request),
            false => {
                begin_stream(request, [chunk("id: 3\ndata: ev")].into_iter().chain(rest.clone()))
            }
        })
        .await;
        fleet.host.app.set_retry_burst(retry_burst);

        let answer = fleet.call().await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
        assert_eq!(fleet.request_count(), requests);
    }
}

// Guards against sending what must run once to a second engine during a silence.
#[tokio::test]
async fn a_stream_that_must_run_once_stays_at_its_silent_engine() {
    for is_before_head in [false, true] {
        let fleet = Fleet::start(2, move |request| match is_before_head {
            true => {
                [Step::Wait(millis(2_700))].into_iter().chain(complete_stream(request)).collect()
            }
            false => pause_in_stream(request, millis(2_700)),
        })
        .await;

        let answer = call(fleet.host.address, &generation("/digest/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
        assert_eq!(fleet.request_count(), 1);
    }
}

// Guards against more engines for one request than its route allows.
#[tokio::test]
async fn a_stream_is_sent_to_no_more_engines_than_its_attempts() {
    let fleet = Fleet::start(3, |request| match is_resumed(request) {
        true => {
            let rest = [Step::Wait(millis(50)), Step::Reset];
            stream_events(request, 3).into_iter().chain(rest).collect()
        }
        false => begin_stream(request, [Step::Hang]),
    })
    .await;

    let answer = fleet.call().await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 3), false));
    assert_eq!(fleet.request_count(), 2);
}

// Guards against events that are lost, repeated or mixed, whichever engine goes on first.
#[tokio::test]
async fn events_are_whole_and_in_order_whenever_the_engines_go_on() {
    let calls = (0..60).map(|n| {
        tokio::spawn(async move {
            let (silence, prefill_delay, head_delay) =
                (1_150 + n * 14 % 500, n * 26 % 350, n * 58 % 290);
            let prefiller = answer_resumed_prefill_late(millis(prefill_delay));
            let fleet =
                Fleet::with_prefiller(prefiller, 2, move |request| match is_resumed(request) {
                    true => {
                        let delay = [Step::Wait(millis(head_delay))];
                        delay.into_iter().chain(complete_stream(request)).collect()
                    }
                    false => vec![
                        stream_head(request),
                        event(1),
                        chunk("id: 2\nda"),
                        Step::Wait(millis(silence)),
                        chunk("ta: event 2\n\nid: 3"),
                        chunk("\ndata: event 3\n\n"),
                        event(4),
                        stream_end(),
                    ],
                })
                .await;
            (fleet.call().await, fleet.request_count())
        })
    });
    let calls: Vec<_> = calls.collect();

    for call in calls {
        let (answer, requests) = call.await.unwrap();

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
        assert!(requests <= 2, "{requests}");
    }
}
