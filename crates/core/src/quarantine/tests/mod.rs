//! Parts of prompts that crash engines, among sound requests and crashes of another cause.

mod decision;
mod exchange;
mod requests;
mod simulation;

use super::evidence::SETTLE_TIME;
use super::{Pattern, Quarantine};
use crate::time::Instant;
use chestnutrack_wire::frame::{Break, HeldPattern, QuarantineReport};
use std::sync::Arc;
use std::time::Duration;

const START: Instant = Instant::from_millis(1_000_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn parts(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|&name| name.into()).collect()
}

fn pattern(names: &[&str]) -> Pattern {
    parts(names).into_iter().collect()
}

/// Returns an answer to the request `request` that broke off at the engine `engine`, soon after it began.
fn broken(engine: u64, request: u64, names: &[&str]) -> Break {
    let engine = format!("engine-{engine}").into();
    Break { engine, born: Some(1), request, parts: parts(names), written_ms: 50 }
}

/// Records answers that broke off at an engine that crashed at `at`, and returns the patterns that are put into
/// quarantine then.
fn crash(quarantine: &mut Quarantine, at: Instant, answers: Vec<Break>) -> Vec<Pattern> {
    for answer in answers {
        quarantine.record_break(at, answer);
    }
    quarantine.poll(at + SETTLE_TIME)
}

/// Records answers that broke off at engines that crashed 100 ms apart, each in its own request, and returns the
/// patterns put into quarantine.
fn record_crashes(quarantine: &mut Quarantine, prompts: &[&[&str]]) -> Vec<Pattern> {
    let crashes = (0..)
        .zip(prompts)
        .map(|(n, names)| crash(quarantine, START + millis(100 * n), vec![broken(n, n, names)]));
    crashes.flatten().collect()
}

/// Puts the part `bad` into quarantine by four crashes in the first 300 ms.
fn hold_bad_part(quarantine: &mut Quarantine) {
    let new = record_crashes(quarantine, &[["bad"].as_slice(); 4]);
    assert_eq!(new, [pattern(&["bad"])]);
}

/// Returns a pattern as another host reports it, that decided just now.
fn held(names: &[&str], left: Duration, decision: u64) -> HeldPattern {
    let left_ms = u32::try_from(left.as_millis()).unwrap();
    let (parts, decisions) = (pattern(names), [decision].into());
    HeldPattern { parts, decisions, left_ms, age_ms: 0, first_crash_ms: 0 }
}

/// Records a number of sound answers that began within the last second before `end`.
fn record_sound(quarantine: &mut Quarantine, end: Instant, count: u64, names: &[&str]) {
    for n in 0..count {
        let began_at = end - millis(1_000 - 1_000 * n / count);
        quarantine.record_sound(end, began_at, &parts(names));
    }
}

fn is_refused(quarantine: &Quarantine, at: Instant, names: &[&str]) -> bool {
    quarantine.time_left(at, &parts(names)).is_some()
}

/// Passes the report of each host to all others.
fn exchange_reports(now: Instant, hosts: &mut [Quarantine]) {
    let reports: Vec<QuarantineReport> = hosts.iter().map(|host| host.report(now)).collect();
    for (to, host) in hosts.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            host.record_report(now + millis(20), &format!("host-{from}").into(), report.clone());
        }
    }
}
