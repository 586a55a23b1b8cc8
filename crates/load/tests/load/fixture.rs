//! Fixtures.

use bytes::Bytes;
use chestnutrack_document::model::Document;
use chestnutrack_harness::Deployment;
use chestnutrack_harness::caller::Answer;
use chestnutrack_harness::deployment::AddressBlock;
use chestnutrack_load::call::{Reply, Verdict};
use chestnutrack_load::experiment::{Experiment, Fleet, Range, Rush, Stream};
use chestnutrack_load::run::{Ended, Sent};
use std::time::Duration;

/// Rate of the two large organisations and of the others, in tokens a second.
const RATES: (u64, u64) = (40_000, 8_000);

/// The larder's document, with rates that the tests count on.
pub(crate) fn document() -> Document {
    let mut document = Deployment::Larder.document(AddressBlock::random(), 1, true);
    for (index, organisation) in document.organisations.iter_mut().enumerate() {
        organisation.rate_tokens_per_s = if index < 2 { RATES.0 } else { RATES.1 };
        organisation.burst_tokens = 4 * organisation.rate_tokens_per_s;
    }
    document
}

/// A stream of interactive requests.
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

/// A stream of deposits, half of which are repeated.
pub(crate) fn deposits(organisation: &str) -> Stream {
    Stream {
        name: "deposit".into(),
        route: "deposit".into(),
        repeated_per_mille: 500,
        items: 10,
        ..chat(organisation, 2.0)
    }
}

/// An experiment with some streams.
pub(crate) fn experiment(streams: Vec<Stream>) -> Experiment {
    Experiment {
        name: "test".into(),
        deployment: Fleet::Larder,
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

/// A rush at ten times the rate.
pub(crate) fn rush() -> Rush {
    Rush { from_s: 5.0, to_s: 10.0, times: 10.0 }
}

/// An answer that took so long to begin.
pub(crate) fn answered(verdict: Verdict, first_ms: u64, body: Option<&str>) -> Ended {
    Ended::Answered {
        verdict,
        first: Duration::from_millis(first_ms),
        between: vec![Duration::from_millis(20); 10],
        body: body.map(|text| Bytes::from(text.to_owned())),
    }
}

/// A refusal.
pub(crate) fn refused(code: &str, ran: &str) -> Ended {
    Ended::Refused { code: code.to_owned(), ran: ran.to_owned() }
}

/// Sends of planned requests, each ended by `end`.
pub(crate) fn sends(
    experiment: &Experiment,
    document: &Document,
    end: impl Fn(usize, &str) -> Ended,
) -> Vec<Sent> {
    let planned = chestnutrack_load::experiment::schedule(experiment, document);
    let sent = planned.into_iter().enumerate().map(|(index, request)| Sent {
        ended: end(index, &request.route),
        request: request.into(),
        repeated: false,
        given: format!("{index:032x}"),
    });
    sent.collect()
}

/// A reply with a body.
pub(crate) fn reply(status: u16, kind: &str, body: &str) -> Reply {
    let mut headers = hyper::HeaderMap::new();
    headers.insert("content-type", kind.parse().expect("a header"));
    let answer = Answer { status, headers, body: Bytes::from(body.to_owned()) };
    Reply { answer, first: Duration::ZERO, between: Vec::new(), total: Duration::ZERO }
}
