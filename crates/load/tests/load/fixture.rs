//! Experiments, results and replies for the tests.

use bytes::Bytes;
use chestnutrack_document::model::Document;
use chestnutrack_harness::Deployment;
use chestnutrack_harness::caller::Answer;
use chestnutrack_harness::deployment::AddressBlock;
use chestnutrack_load::call::{Reply, Verdict};
use chestnutrack_load::experiment::{Burst, DeploymentKind, Experiment, Range, Stream};
use chestnutrack_load::run::{SendResult, SentRequest};
use std::time::Duration;

/// Rate of the two large organisations and of the others, in tokens a second.
const RATES: (u64, u64) = (40_000, 8_000);

/// Returns the document of the larder deployment, with the rates that the tests expect.
pub(crate) fn document() -> Document {
    let mut document = Deployment::Larder.document(AddressBlock::random(), 1, true);
    for (index, organisation) in document.organisations.iter_mut().enumerate() {
        organisation.rate_tokens_per_s = if index < 2 { RATES.0 } else { RATES.1 };
        organisation.burst_tokens = 4 * organisation.rate_tokens_per_s;
    }
    document
}

/// Returns a stream of interactive requests.
pub(crate) fn chat(organisation: &str, rate_per_s: f64) -> Stream {
    Stream {
        name: "chat".into(),
        route: "chat".into(),
        organisations: vec![organisation.into()],
        rate_per_s,
        rushes: Vec::new(),
        prompt_tokens: Range { min: 200, max: 400 },
        shared_tokens: 100,
        shared_starts: 2,
        output_tokens: Range { min: 10, max: 20 },
        items: 1,
        repeated_per_mille: 0,
    }
}

/// Returns a stream of deposits, half of which are repeated.
pub(crate) fn deposits(organisation: &str) -> Stream {
    Stream {
        name: "deposit".into(),
        route: "deposit".into(),
        repeated_per_mille: 500,
        items: 10,
        ..chat(organisation, 2.0)
    }
}

/// Returns an experiment with the given streams.
pub(crate) fn experiment(streams: Vec<Stream>) -> Experiment {
    Experiment {
        name: "test".into(),
        deployment: DeploymentKind::Larder,
        seed: 7,
        entries: 2,
        duration_s: 20.0,
        warm_up_s: 0.0,
        links: false,
        engine_arguments: Vec::new(),
        streams,
        faults: Vec::new(),
    }
}

/// Returns a burst at ten times the rate.
pub(crate) fn burst() -> Burst {
    Burst { from_s: 5.0, to_s: 10.0, times: 10.0 }
}

/// Returns the result of a request whose response began after `first_ms`.
pub(crate) fn answered(verdict: Verdict, first_ms: u64, body: Option<&str>) -> SendResult {
    SendResult::Answered {
        verdict,
        time_to_first: Duration::from_millis(first_ms),
        token_gaps: vec![Duration::from_millis(20); 10],
        body: body.map(|text| Bytes::from(text.to_owned())),
    }
}

/// Returns the result of a refused request.
pub(crate) fn refused(code: &str, ran: &str) -> SendResult {
    SendResult::Refused { code: code.to_owned(), ran: ran.to_owned() }
}

/// Returns the planned requests as sent, each with the result that `result_for` gives for its index
/// and route.
pub(crate) fn sends(
    experiment: &Experiment,
    document: &Document,
    result_for: impl Fn(usize, &str) -> SendResult,
) -> Vec<SentRequest> {
    let planned = chestnutrack_load::experiment::schedule(experiment, document);
    let sent = planned.into_iter().enumerate().map(|(index, request)| SentRequest {
        result: result_for(index, &request.route),
        request: request.into(),
        repeated: false,
        request_id: format!("{index:032x}"),
    });
    sent.collect()
}

/// Returns a reply with a status, a content type and a body.
pub(crate) fn reply(status: u16, kind: &str, body: &str) -> Reply {
    let mut headers = hyper::HeaderMap::new();
    headers.insert("content-type", kind.parse().expect("a header"));
    let answer = Answer { status, headers, body: Bytes::from(body.to_owned()) };
    Reply { answer, time_to_first: Duration::ZERO, token_gaps: Vec::new(), total: Duration::ZERO }
}
