//! Numbers at the ends of their ranges in the entries of servers, the reports of peers and the requests of callers.

use super::simulation::{entry, service};
use crate::dispatch::{ColdStart, Dispatch, Entry, Request, Residency, Settings, Ticket};
use crate::time::Instant;
use chestnutrack_wire::frame::{
    DemandReport, EngineReport, GenerationReport, LimitReport, LimitStatement, News,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

/// Random runs, their steps, and the seed of the first.
const CASES: u64 = 60;
const STEPS: usize = 120;
const SEED: u64 = 44;
/// Most time between two steps, in milliseconds. A plan needs several seconds of observation.
const STEP_MAX_MS: u64 = 600;

fn small(rng: &mut ChaCha8Rng) -> u32 {
    [0, 1, 100, 5_000, i32::MAX as u32, u32::MAX - 1, u32::MAX][rng.random_range(0..7)]
}

fn large(rng: &mut ChaCha8Rng) -> u64 {
    [0, 1, 5_000, u64::from(u32::MAX), i64::MAX as u64, u64::MAX - 1, u64::MAX]
        [rng.random_range(0..7)]
}

fn news(rng: &mut ChaCha8Rng) -> News {
    let run = |rng: &mut ChaCha8Rng| GenerationReport {
        context: small(rng),
        made: small(rng),
        expected: small(rng),
        most: small(rng),
    };
    let engines = (0..4).map(|engine| EngineReport {
        server: entry(engine, true).name,
        runs: (0..3).map(|_| run(rng)).collect(),
        prefilling: small(rng),
    });
    News {
        engines: engines.collect(),
        waiting: (0..3).map(|_| small(rng)).collect(),
        waiting_order: (0..2).map(|_| (service(), rng.random())).collect(),
        demand: vec![DemandReport {
            service: service(),
            seen: small(rng),
            prompt_tokens: small(rng),
            answer_tokens: small(rng),
            held_by_generated: large(rng),
        }],
        ..News::default()
    }
}

fn limits(rng: &mut ChaCha8Rng) -> Vec<LimitReport> {
    let reports = (0..4).map(|engine| LimitReport {
        server: entry(engine, true).name,
        born: Some(1),
        statement: rng
            .random_bool(0.5)
            .then(|| LimitStatement { rate: Some(large(rng)), age_ms: small(rng) }),
        sent: [0, 1, i64::MIN, i64::MAX][rng.random_range(0..4)],
    });
    reports.collect()
}

fn request(now: Instant, rng: &mut ChaCha8Rng) -> Request {
    Request {
        service: service(),
        organisation: "orchard".into(),
        priority: rng.random(),
        prompt_tokens: large(rng),
        output_tokens: large(rng),
        length_hint: Some(large(rng)),
        arrived: now,
        first_token_by: rng.random_bool(0.7).then(|| now + Duration::from_secs(600)),
        leaves_at: now + Duration::MAX,
        deadline: now + Duration::from_millis(large(rng)),
        max_pause: rng.random_bool(0.5).then(|| Duration::from_millis(large(rng))),
        urgent: rng.random_bool(0.2),
        prefilled: false,
        prefixes: Arc::from([]),
        resumable: false,
        build: None,
        residency: Residency::default(),
    }
}

/// Returns a host whose service and servers state extreme numbers.
fn host(now: Instant, rng: &mut ChaCha8Rng) -> Dispatch<usize> {
    let mut host = Dispatch::new(Settings::default(), "a".into());
    host.configure_engines(&service(), large(rng), small(rng));
    let cold = ColdStart { duration: Duration::from_millis(large(rng)), per_s: Some(f64::MAX) };
    host.configure_cold_start(now, &service(), cold);
    for engine in 0..4 {
        let (slots, cold_ms) = (small(rng), rng.random_bool(0.2).then(|| small(rng)));
        host.put(now, Entry { slots, cold_ms, ..entry(engine, engine < 3) });
    }
    host
}

/// Guards against a decision that panics, or wraps around, on numbers that other writers, peers or callers state.
#[test]
fn decisions_are_made_on_numbers_at_the_ends_of_their_ranges() {
    for seed in SEED..SEED + CASES {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::from_millis(1_000_000);
        let mut host = host(now, rng);
        let mut tickets: Vec<Ticket> = Vec::new();
        let peers: [Arc<str>; 3] = ["b".into(), "c".into(), "d".into()];
        for step in 0..STEPS {
            now = now + Duration::from_millis(rng.random_range(1..STEP_MAX_MS));
            let peer = &peers[rng.random_range(0..peers.len())];
            match rng.random_range(0..6) {
                0 | 1 => host.update_peer(now, peer, &news(rng)),
                2 => drop(host.record_peer_limits(now, peer, 1, &limits(rng))),
                3 | 4 => tickets.extend(host.submit(now, request(now, rng), step)),
                _ => tickets.drain(..).for_each(|ticket| host.cancel(ticket)),
            }
            host.tick(now);
            host.plan_stage_changes(now, &service());
            host.limit_reports(now);
            host.engine_reports();
            host.demand_reports();
            host.throttled_retry_after(now, &service());
        }
    }
}
