//! Guarantee: no organisation gets more than its rate and burst across all hosts.

#![allow(clippy::unwrap_used)]

mod common;

use chestnutrack_document::Document;
use chestnutrack_harness::{Fleet, Settings};
use common::{set_outage, small_fleet, stock};
use std::time::{Duration, Instant};

/// Rate of each organisation, in tokens per second.
const RATE_TOKENS_PER_S: u64 = 200;
/// Burst of each organisation, in tokens.
const BURST_TOKENS: u64 = 400;
/// Cost of a stock check, in tokens.
const COST_TOKENS: u64 = 10;
/// Length of the load in each test.
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Callers of each entry host, enough for several times the rate.
const CALLERS_PER_ENTRY_HOST: usize = 4;

fn limited_fleet() -> Settings {
    fn edit(document: &mut Document) {
        (small_fleet().edit)(document);
        for organisation in &mut document.organisations {
            organisation.rate_tokens_per_s = RATE_TOKENS_PER_S;
            organisation.burst_tokens = BURST_TOKENS;
        }
    }
    Settings { edit, entries: 3, ..small_fleet() }
}

/// Calls all entry hosts as fast as they answer and returns the number of admitted tokens.
async fn load(fleet: &Fleet, duration: Duration) -> u64 {
    let start = Instant::now();
    let caller = |entry: u8| async move {
        let mut admitted = 0;
        while start.elapsed() < duration {
            match fleet.call(entry, &stock(fleet)).await {
                Ok(answer) if answer.status == 200 => admitted += COST_TOKENS,
                Ok(_) => {}
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        admitted
    };
    let entries = 0..fleet.settings.entries;
    let callers = entries.flat_map(|entry| (0..CALLERS_PER_ENTRY_HOST).map(move |_| caller(entry)));
    futures_util::future::join_all(callers).await.into_iter().sum()
}

/// Returns the most tokens that may have been admitted since `start`.
fn bound(start: Instant) -> u64 {
    let elapsed_ms = u64::try_from(start.elapsed().as_millis()).unwrap();
    BURST_TOKENS + RATE_TOKENS_PER_S * elapsed_ms / 1_000 + COST_TOKENS
}

#[tokio::test]
async fn the_fleet_admits_no_more_than_rate_and_burst() {
    let fleet = Fleet::start(limited_fleet()).await.unwrap();
    let start = Instant::now();

    let admitted = load(&fleet, LOAD_DURATION).await;

    let bound = bound(start);
    assert!(admitted <= bound, "{admitted} of {bound}");
}

#[tokio::test]
async fn an_outage_and_a_killed_entry_host_do_not_raise_the_limit() {
    let mut fleet = Fleet::start(limited_fleet()).await.unwrap();
    let start = Instant::now();
    let mut admitted = load(&fleet, LOAD_DURATION / 3).await;
    set_outage(&fleet, true).await;
    admitted += load(&fleet, LOAD_DURATION / 3).await;
    let entry = fleet.process("entry-1").unwrap();
    entry.kill().await;
    entry.restart().unwrap();
    admitted += load(&fleet, LOAD_DURATION / 3).await;
    set_outage(&fleet, false).await;
    admitted += load(&fleet, LOAD_DURATION / 3).await;

    let bound = bound(start);
    assert!(admitted <= bound, "{admitted} of {bound}");
}

#[tokio::test]
async fn a_paused_and_resumed_entry_host_does_not_raise_the_limit() {
    let fleet = &mut Fleet::start(limited_fleet()).await.unwrap();
    let start = Instant::now();
    let mut admitted = 0;
    fleet.process("entry-1").unwrap().pause().unwrap();
    tokio::time::sleep(LOAD_DURATION).await;
    fleet.process("entry-1").unwrap().resume().unwrap();

    admitted += load(fleet, LOAD_DURATION).await;

    let bound = bound(start);
    assert!(admitted <= bound, "{admitted} of {bound}");
}

#[tokio::test]
async fn an_organisation_within_its_rate_is_not_refused_on_one_entry_host() {
    let fleet = Fleet::start(limited_fleet()).await.unwrap();
    let period = Duration::from_millis(1_000 * COST_TOKENS / RATE_TOKENS_PER_S * 10 / 8);
    let mut ticks = tokio::time::interval(period);
    let mut refused = Vec::new();

    for _ in 0..80 {
        ticks.tick().await;
        let answer = fleet.call(0, &stock(&fleet)).await.unwrap();
        if answer.status != 200 {
            refused.push(answer.text());
        }
    }

    assert_eq!(refused, Vec::<String>::new());
}
