//! Tests of requests with a part in their prompts under which engines end.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer_prefill, complete_stream, stream_head,
};
use crate::fixture::caller::{Answer, call, request};
use crate::fixture::{Host, decode, engines};
use chestnutrack_core::dispatch::{Change, Entry};
use std::time::Duration;

/// Crashes after which a part of a prompt has to be known.
const CRASHES_MAX: usize = 5;
/// Further requests with the part that may reach engines.
const REACH_MAX: usize = 3;

/// Ends without an event if the prompt has the part `bad`; otherwise completes the stream.
fn crash_on_bad_part(request: &ReceivedRequest) -> Vec<Step> {
    match has_bad_part(request) {
        true => vec![stream_head(request), Step::Wait(Duration::from_millis(20)), Step::Reset],
        false => complete_stream(request),
    }
}

fn has_bad_part(request: &ReceivedRequest) -> bool {
    request.header("x-chestnutrack-parts").is_some_and(|parts| parts.contains("bad:"))
}

/// Returns the text of a request for a generation whose prompt has the given parts.
fn generation_of(path: &str, parts: &str) -> String {
    let headers = format!("x-chestnutrack-tokens: 100,50\r\nx-chestnutrack-parts: {parts}\r\n");
    request("POST", path, &headers, "prompt")
}

/// Engines of which each is back, as a new process, as soon as it has ended.
struct Engines {
    prefiller: Backend,
    decoders: Vec<Backend>,
}

impl Engines {
    async fn start() -> Engines {
        let prefiller = Backend::start(answer_prefill).await;
        let mut decoders = Vec::new();
        for _ in 0..4 {
            decoders.push(Backend::start(crash_on_bad_part).await);
        }
        Engines { prefiller, decoders }
    }

    async fn host(&self) -> Host {
        engines(&self.prefiller, &self.decoders.iter().collect::<Vec<_>>()).await
    }

    /// Lists all engines as processes that started at `born`.
    fn restart(&self, host: &Host, born: u64) {
        for (n, decoder) in self.decoders.iter().enumerate() {
            let entry = Entry { born: Some(born), ..decode(&format!("decode-{n}"), decoder) };
            host.app.apply_change(Change::Put(entry.name.clone(), entry));
        }
    }

    /// Returns how many requests with the part `bad` have reached engines that generate.
    fn bad_arrivals(&self) -> usize {
        let received = self.decoders.iter().flat_map(Backend::received);
        received.filter(has_bad_part).count()
    }
}

/// Sends requests with the part `bad` one after the other, no two alike, and returns the last answer.
async fn send_bad_requests(engines: &Engines, host: &Host, count: u64) -> Answer {
    let mut answer = Answer::default();
    for n in 0..count {
        engines.restart(host, n + 2);
        let parts = format!("family:20,bad:30,own{n}:50");
        answer = call(host.address, &generation_of("/recap/7", &parts)).await;
    }
    answer
}

// Guards against a part of a prompt that ends one engine after the other.
#[tokio::test]
async fn a_part_of_a_prompt_under_which_engines_end_reaches_no_more_of_them() {
    let engines = Engines::start().await;
    let host = engines.host().await;

    let answer = send_bad_requests(&engines, &host, 12).await;

    let arrivals = engines.bad_arrivals();
    assert!(arrivals <= CRASHES_MAX + REACH_MAX, "{arrivals} requests reached engines");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

// Guards against refusing sound requests that share the caller and the other parts of the prompt.
#[tokio::test]
async fn sound_requests_with_the_other_parts_are_served() {
    let engines = Engines::start().await;
    let host = engines.host().await;

    send_bad_requests(&engines, &host, 12).await;
    engines.restart(&host, 100);

    for n in 0..4 {
        let parts = format!("family:20,good:30,own{n}:50");
        let answer = call(host.address, &generation_of("/recap/7", &parts)).await;

        assert_eq!((answer.status, answer.complete), (200, true));
    }
}
