//! Tests that every request is answered while configurations and servers change beside it.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, event, stream_end, stream_head,
};
use crate::fixture::caller::{call, connect, generation, read, request};
use crate::fixture::{Host, config, decode, host, plain, prefill, wait_until};
use chestnutrack_core::dispatch::{Change, Entry};
use chestnutrack_forward::config::{Config, Engine, Limits, Organisation};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::runtime::Builder;
use tokio::time::sleep;

/// Random runs, largest number of steps of one, and seed of their generator.
const CASES: u64 = 20;
const STEPS_MAX: usize = 60;
const SEED: u64 = 1;
/// Threads on which the host, its callers and its servers run.
const THREADS: usize = 4;
/// Pause between two steps.
const STEP_PAUSE: Duration = Duration::from_millis(3);
/// Time limit of all routes. A stream that reaches it ends incomplete.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle timeouts to choose from, all longer than a new connection waits for its request.
const IDLE_TIMEOUTS_MS: [u64; 2] = [1_000, 15_000];
/// Hosts among which connections may be divided.
const HOSTS_MAX: usize = 40;

/// One step of a run.
#[derive(Clone, Debug)]
enum RunStep {
    /// Puts a configuration in force, with the next version.
    Configure(Config),
    /// Adds or updates the server of an index.
    Put { server: usize, born: u64, leaving: bool, slots: u32 },
    /// Removes the server of an index.
    Remove { server: usize },
    /// Divides connections among a number of hosts.
    Divide { hosts: usize },
    /// Sends a request to the route of an index.
    Call { route: usize },
}

/// Paths of the routes that requests are sent to.
const PATHS: [&str; 5] = ["/pay/1", "/look/1", "/open/1", "/digest/1", "/recap/1"];
/// Number of servers that the fixture starts.
const SERVERS: usize = 5;

impl Arbitrary for RunStep {
    fn arbitrary(g: &mut Gen) -> RunStep {
        let server = usize::arbitrary(g) % SERVERS;
        match u8::arbitrary(g) % 16 {
            0..3 => RunStep::Configure(arbitrary_config(g)),
            3 => RunStep::Put {
                server,
                born: u64::arbitrary(g) % 3,
                leaving: bool::arbitrary(g),
                slots: choose(g, &[0, 1, 8, u32::MAX]),
            },
            4 => RunStep::Remove { server },
            5 => RunStep::Divide { hosts: usize::arbitrary(g) % HOSTS_MAX },
            _ => RunStep::Call { route: usize::arbitrary(g) % PATHS.len() },
        }
    }
}

/// Returns one of some values.
fn choose<T: Copy>(g: &mut Gen, values: &[T]) -> T {
    *g.choose(values).unwrap()
}

/// Returns a random part of a list.
fn part_of<T>(g: &mut Gen, values: Vec<T>) -> Vec<T> {
    values.into_iter().filter(|_| u8::arbitrary(g) % 4 > 0).collect()
}

/// Returns a configuration with a random part of the routes, services and organisations of the fixture,
/// and random values for their limits.
fn arbitrary_config(g: &mut Gen) -> Config {
    let usual = config();
    let mut routes = part_of(g, usual.routes);
    for route in &mut routes {
        route.timeout = ROUTE_TIMEOUT;
        route.attempts = choose(g, &[0, 1, 2, u32::MAX]);
        route.open = bool::arbitrary(g);
        route.priority = u8::arbitrary(g);
        route.max_pause = choose(g, &[None, Some(Duration::ZERO), Some(Duration::from_secs(1))]);
        route.target_latency = choose(g, &[Duration::ZERO, Duration::from_millis(900)]);
        let weights = [0, 1, u32::MAX];
        let services = ["app", "llm", "missing"].map(Arc::from);
        let split = services.map(|service| (service, choose(g, &weights)));
        if u8::arbitrary(g) % 4 == 0 {
            route.split = part_of(g, split.to_vec());
        }
    }
    let mut services = part_of(g, usual.services);
    for service in &mut services {
        service.connections = choose(g, &[0, 1, 100, u32::MAX]);
        service.engine = match (&*service.name, u8::arbitrary(g) % 8) {
            ("llm", 1..) => Some(arbitrary_engine(g)),
            _ => None,
        };
    }
    let names = ["orchard", "meadow", "brook"].map(Arc::<str>::from);
    let organisations = names.map(|name| Organisation {
        keys: vec![format!("key-of-{name}").into()],
        name,
        priority: Option::arbitrary(g),
        rate: choose(g, &[0, 1, 10_000, u64::MAX]),
        burst: choose(g, &[0, 1, 10_000, u64::MAX]),
        plain_tokens: choose(g, &[0, 1, 100, 1_000_000]),
    });
    Config {
        version: 0,
        routes,
        services,
        organisations: part_of(g, organisations.to_vec()),
        limits: Limits {
            head_bytes: choose(g, &[0, 1 << 10, 16 << 10]),
            body_bytes: choose(g, &[0, 1 << 20, 1 << 20, 1 << 20]),
            idle_timeout: Duration::from_millis(choose(g, &IDLE_TIMEOUTS_MS)),
            ..Limits::default()
        },
    }
}

/// Returns properties of engines, which may be 0.
fn arbitrary_engine(g: &mut Gen) -> Engine {
    Engine {
        slots: choose(g, &[0, 1, 8]),
        kv_tokens: choose(g, &[0, 200, 50_000, u64::MAX]),
        tokens_per_event: choose(g, &[0, 1, 4, u32::MAX]),
        handle_ttl: Duration::from_millis(choose(g, &[0, 500])),
        stage_switch_time: Duration::from_millis(choose(g, &[0, 1_000])),
    }
}

/// Answers a request to a plain service after a short time.
fn answer_plain(request: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Wait(Duration::from_millis(5)), answer(request, "200 OK", "fine")]
}

/// Sends a stream of some events.
fn answer_stream(request: &ReceivedRequest) -> Vec<Step> {
    let last_event: u64 = request.header("last-event-id").map_or(0, |id| id.parse().unwrap());
    let events =
        (last_event + 1..=6).flat_map(|id| [Step::Wait(Duration::from_millis(10)), event(id)]);
    [stream_head(request)].into_iter().chain(events).chain([stream_end()]).collect()
}

/// Sends a request to the route of an index. Returns what is wrong with its answer: there is none, or it is
/// incomplete although the route's time limit has not passed. If `must_succeed` is set, also a status other
/// than 200.
async fn call_route(address: SocketAddr, route: usize, must_succeed: bool) -> Option<String> {
    let path = PATHS[route];
    let text = match path {
        "/digest/1" | "/recap/1" => generation(path),
        _ => request("POST", path, "", "body"),
    };
    let started_at = Instant::now();
    let answer = call(address, &text).await;
    let took = started_at.elapsed();
    let is_answered = answer.status != 0 && (answer.complete || took >= ROUTE_TIMEOUT);
    let is_expected = is_answered && (answer.status == 200 || !must_succeed);
    (!is_expected).then(|| format!("{path} after {took:?}: {answer:?}"))
}

/// Starts the servers of a run, and returns their entries.
async fn start_servers() -> Vec<Entry> {
    let (app, other_app) = (Backend::start(answer_plain).await, Backend::start(answer_plain).await);
    let prefiller = Backend::start(answer_prefill).await;
    let (decoder, other_decoder) =
        (Backend::start(answer_stream).await, Backend::start(answer_stream).await);
    vec![
        plain("app-1", &app),
        plain("app-2", &other_app),
        prefill("prefill-1", &prefiller),
        decode("decode-1", &decoder),
        decode("decode-2", &other_decoder),
    ]
}

/// Applies a step to a host.
fn apply(host: &Host, entries: &[Entry], version: u64, step: &RunStep) {
    match step {
        RunStep::Configure(config) => {
            host.app.configure(Config { version, ..config.clone() }, b"{}".to_vec());
        }
        RunStep::Put { server, born, leaving, slots } => {
            let (born, leaving, slots) = (Some(*born), *leaving, *slots);
            let entry = Entry { born, leaving, slots, ..entries[*server].clone() };
            host.app.apply_change(Change::Put(entry.name.clone(), entry));
        }
        RunStep::Remove { server } => {
            host.app.apply_change(Change::Remove(entries[*server].name.clone()));
        }
        RunStep::Divide { hosts } => host.app.divide_connections(*hosts),
        RunStep::Call { .. } => {}
    }
}

/// Applies the steps to a host, without waiting for the answers to the requests among them. Then restores
/// the usual configuration and servers, and sends a request to each route. Returns what is wrong with the
/// answers.
async fn run(steps: &[RunStep]) -> Vec<String> {
    let entries = start_servers().await;
    let host = host(entries.clone()).await;
    let mut calls = Vec::new();
    for (version, step) in (2..).zip(steps) {
        apply(&host, &entries, version, step);
        if let RunStep::Call { route } = step {
            calls.push(tokio::spawn(call_route(host.address, *route, false)));
        }
        sleep(STEP_PAUSE).await;
    }
    let mut errors = Vec::new();
    for pending in calls {
        errors.extend(pending.await.unwrap());
    }
    // Without organisations, no allowance is left from the run.
    let usual = Config { version: u64::MAX, organisations: Vec::new(), ..config() };
    host.app.configure(usual, b"{}".to_vec());
    for entry in entries {
        let entry = Entry { born: Some(u64::MAX), ..entry };
        host.app.apply_change(Change::Put(entry.name.clone(), entry));
    }
    for route in 0..PATHS.len() {
        errors.extend(call_route(host.address, route, true).await);
    }
    errors
}

// Guards against a panic, and so a request without an answer, under a configuration that states 0 tokens per event.
#[tokio::test]
async fn a_request_that_has_to_wait_is_answered_where_an_engine_s_events_have_no_tokens() {
    let prefiller = Backend::start(answer_prefill).await;
    let decoder = Backend::start(answer_stream).await;
    let engine = Entry { slots: 1, ..decode("decode-1", &decoder) };
    let host = host(vec![prefill("prefill-1", &prefiller), engine]).await;
    let mut config = Config { version: 2, ..config() };
    for engine in config.services.iter_mut().filter_map(|service| service.engine.as_mut()) {
        engine.tokens_per_event = 0;
    }
    host.app.configure(config, b"{}".to_vec());
    let mut connection = connect(host.address).await;
    connection.write_all(generation("/digest/1").as_bytes()).await.unwrap();
    wait_until(|| decoder.request_count() == 1).await;

    let second = call(host.address, &generation("/digest/1")).await;
    let first = read(&mut connection).await;

    assert_eq!((first.status, first.complete), (200, true));
    assert!(second.complete && [200, 503].contains(&second.status), "{second:?}");
}

// Guards against a request that ends without an answer because its task panics, or its state is lost, when
// a configuration is put in force.
#[test]
fn each_request_is_answered_while_configurations_and_servers_change() {
    fn property(steps: Vec<RunStep>) -> TestResult {
        let runtime = Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
        match runtime.unwrap().block_on(run(&steps)).first() {
            None => TestResult::passed(),
            Some(error) => TestResult::error(error.clone()),
        }
    }
    let generator = Gen::from_size_and_seed(STEPS_MAX, SEED);
    let property: fn(Vec<RunStep>) -> TestResult = property;
    QuickCheck::new().tests(CASES).rng(generator).quickcheck(property);
}

// Guards against priorities that no request of a service can have, by which its requests would be ranked.
#[test]
fn the_priorities_of_a_service_are_those_of_its_routes_and_organisations() {
    let base = config();
    let stating = |priority| Organisation { priority, ..base.organisations[0].clone() };
    let with = |organisations| Config { organisations, ..base.clone() };
    let sorted = |config: Config, service| {
        let mut priorities = config.priorities(service);
        priorities.sort_unstable();
        priorities.dedup();
        priorities
    };

    assert_eq!(sorted(with(vec![stating(None)]), "llm"), [1]);
    assert_eq!(sorted(with(vec![stating(Some(0))]), "llm"), [0]);
    assert_eq!(sorted(with(vec![stating(Some(0)), stating(None)]), "llm"), [0, 1]);
    // A route to this service is open to callers that belong to no organisation.
    assert_eq!(sorted(with(vec![stating(Some(255))]), "app"), [1, 255]);
    assert_eq!(sorted(with(Vec::new()), "llm"), [1]);
    assert!(base.priorities("another").is_empty());
}
