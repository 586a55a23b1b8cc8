//! Parses and validates an experiment.

use super::{Experiment, FaultKind, Range, Stream};
use chestnutrack_document::model::{Document, Route};
use chestnutrack_document::{Findings, finding::Finding};

/// Longest duration of an experiment, in seconds.
const DURATION_MAX_S: f64 = 3_600.0;
/// Highest rate of one organisation, in requests per second.
const RATE_MAX_PER_S: f64 = 10_000.0;

/// Parses an experiment and validates it against the document of its deployment.
///
/// # Errors
///
/// Returns all findings of the validation, or the position of the first syntax error.
pub fn parse(
    bytes: &[u8],
    document: impl Fn(&Experiment) -> Document,
) -> Result<Experiment, Findings> {
    let experiment: Experiment = serde_json::from_slice(bytes).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        Findings(vec![Finding { place, message: error.to_string() }])
    })?;
    let mut findings = Findings::default();
    check(&mut findings, &experiment, &document(&experiment));
    if findings.is_empty() { Ok(experiment) } else { Err(findings) }
}

/// Checks the limits of an experiment, its streams and its faults.
fn check(findings: &mut Findings, experiment: &Experiment, document: &Document) {
    if !(0.0..=DURATION_MAX_S).contains(&experiment.duration_s) {
        findings.add("duration_s", format!("must be at most {DURATION_MAX_S}"));
    }
    if !(0.0..experiment.duration_s).contains(&experiment.warm_up_s) {
        findings.add("warm_up_s", "must be shorter than the duration");
    }
    if experiment.entries == 0 {
        findings.add("entries", "must be at least 1");
    }
    for (index, stream) in experiment.streams.iter().enumerate() {
        check_stream(findings, &format!("streams[{index}]"), stream, document);
    }
    for (index, fault) in experiment.faults.iter().enumerate() {
        if !(0.0..=experiment.duration_s).contains(&fault.at_s) {
            findings.add(format!("faults[{index}].at_s"), "must lie within the duration");
        }
        if matches!(fault.kind, FaultKind::Silence { .. }) && !experiment.links {
            findings.add(format!("faults[{index}].do"), "needs `links` to be true");
        }
    }
}

/// Checks that a stream's rate and bursts are valid and that the document has its organisations and
/// route.
fn check_stream(findings: &mut Findings, place: &str, stream: &Stream, document: &Document) {
    if !(stream.rate_per_s > 0.0 && stream.rate_per_s <= RATE_MAX_PER_S) {
        findings.add(
            format!("{place}.rate_per_s"),
            format!("must be above 0, at most {RATE_MAX_PER_S}"),
        );
    }
    for (index, organisation) in stream.organisations.iter().enumerate() {
        if !document.organisations.iter().any(|defined| defined.name == *organisation) {
            let place = format!("{place}.organisations[{index}]");
            findings.add(place, format!("the document has no `{organisation}`"));
        }
    }
    for (index, burst) in stream.rushes.iter().enumerate() {
        if burst.from_s >= burst.to_s || burst.times < 1.0 {
            findings.add(
                format!("{place}.rushes[{index}]"),
                "must end after its start and raise the rate",
            );
        }
    }
    match document.routes.iter().find(|route| route.name == stream.route) {
        None => findings
            .add(format!("{place}.route"), format!("the document has no `{}`", stream.route)),
        Some(route) => check_lengths(findings, place, stream, route),
    }
}

/// Checks the repetitions of a stream against its route and, for model routes, the lengths of its
/// prompts and outputs.
fn check_lengths(findings: &mut Findings, place: &str, stream: &Stream, route: &Route) {
    if stream.repeated_per_mille > 0 && !route.once {
        findings.add(format!("{place}.repeated_per_mille"), "is for routes that must land once");
    }
    if !route.api.is_model() {
        return;
    }
    for (name, range) in
        [("prompt_tokens", stream.prompt_tokens), ("output_tokens", stream.output_tokens)]
    {
        let Range { min, max } = range;
        if min == 0 || min > max {
            findings.add(format!("{place}.{name}"), "must be from at least 1 to at least as much");
        }
    }
    if stream.shared_tokens >= stream.prompt_tokens.min.max(1) {
        findings.add(format!("{place}.shared_tokens"), "must be shorter than the shortest prompt");
    }
}
