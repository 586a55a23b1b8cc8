//! Cold servers: single decisions, shares of fleets of all sizes, and fleets whose messages are late or lost.

use super::simulation::{entry, service};
use crate::dispatch::{
    ColdBound, ColdSource, ColdStart, Dispatch, Effect, Entry, Outcome, PlainOutcome, Request,
    Residency, ServerKey, Settings,
};
use crate::time::Instant;
use chestnutrack_wire::frame::LimitReport;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

const NOW: Instant = Instant::from_millis(1_000_000);
/// Time at which a host that knew its hosts at [`NOW`] has its share.
const JOINED: Instant = Instant::from_millis(1_010_000);
const COLD_START: ColdStart = ColdStart { duration: Duration::from_secs(3), per_s: Some(32.0) };

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn plain(server: usize, cold_ms: Option<u32>) -> Entry {
    Entry { stage: None, cold_ms, ..entry(server, false) }
}

fn name(host: usize) -> Arc<str> {
    format!("host-{host}").into()
}

/// Returns a host of a fleet of `hosts` that has known the others since `now`, and the list of servers.
fn host_at(now: Instant, number: usize, hosts: usize, per_s: f64) -> Dispatch<u32> {
    let mut host = Dispatch::new(Settings::default(), "a".into());
    host.set_seed(number as u64);
    let others: Vec<Arc<str>> = (0..hosts).filter(|other| *other != number).map(name).collect();
    host.set_hosts(now, &name(number), &others, true);
    host.configure_cold_start(now, &service(), ColdStart { per_s: Some(per_s), ..COLD_START });
    host.record_servers_listed();
    host
}

fn host() -> Dispatch<u32> {
    host_at(NOW, 0, 1, 32.0)
}

/// Returns how many of `count` requests at `now` are sent, and to which servers.
fn sent(host: &mut Dispatch<u32>, now: Instant, count: usize) -> Vec<ServerKey> {
    let placed = (0..count).filter_map(|_| host.place_plain(now, &service(), &[]));
    let placed: Vec<ServerKey> = placed.map(|choice| choice.key).collect();
    placed.into_iter().filter(|key| host.record_send(now, *key, 1)).collect()
}

// Guards against full load on a server that says that it is cold.
#[test]
fn a_server_whose_entry_says_that_it_is_cold_gets_its_share_at_once() {
    let mut host = host();
    host.put(JOINED, plain(0, Some(3_000)));

    let at_once = sent(&mut host, JOINED, 200).len();
    let warm = sent(&mut host, JOINED + millis(3_000), 200).len();

    assert_eq!((at_once, warm), (26, 200));
}

// Guards against full load on a server that has just started and whose entry does not say that it is cold.
#[test]
fn a_server_that_is_listed_during_traffic_is_cold() {
    for cold_ms in [None, Some(0)] {
        let mut host = host();
        let (key, _) = host.put(JOINED, plain(0, cold_ms));

        let change = host.cold_changes(JOINED).remove(0);

        assert_eq!((change.source, change.per_s), (Some(ColdSource::Listing), Some(32.0)));
        assert!(host.is_cold(JOINED + millis(2_999), key));
        assert!(!host.is_cold(JOINED + millis(3_000), key));
    }
}

// Guards against a fleet that starts and takes all its servers for cold.
#[test]
fn servers_of_the_first_list_and_servers_that_come_back_are_not_cold() {
    let mut host: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    host.configure_cold_start(NOW, &service(), COLD_START);
    let (first, _) = host.put(NOW, plain(0, None));
    host.record_servers_listed();
    host.remove(NOW, "e0");
    let (again, _) = host.put(NOW + millis(500), plain(0, None));

    assert!(!host.is_cold(NOW, first) && !host.is_cold(NOW + millis(500), again));
}

#[test]
fn without_a_rate_a_cold_server_has_no_limit() {
    for per_s in [None, Some(0.0), Some(-1.0), Some(f64::NAN)] {
        let mut host = host();
        host.configure_cold_start(JOINED, &service(), ColdStart { per_s, ..COLD_START });
        host.put(JOINED, plain(0, Some(3_000)));

        assert_eq!(sent(&mut host, JOINED, 200).len(), 200, "{per_s:?}");
    }
}

#[test]
fn huge_statements_are_bounded() {
    let mut host = host();
    let cold = ColdStart { duration: Duration::MAX, per_s: Some(f64::INFINITY) };
    host.configure_cold_start(JOINED, &service(), cold);
    let (key, _) = host.put(JOINED, plain(0, Some(u32::MAX)));

    assert!(host.is_cold(JOINED + Duration::from_secs(59), key));
    assert!(!host.is_cold(JOINED + Duration::from_secs(60), key));
    assert_eq!(sent(&mut host, JOINED, 200).len(), 200);
}

// Guards against a host that forgets, when a server becomes cold, what it sent just before.
#[test]
fn what_was_sent_just_before_a_server_became_cold_counts() {
    let mut host = host();
    let (key, _) = host.put(NOW, plain(0, Some(0)));
    host.cold_changes(NOW);
    let before = sent(&mut host, JOINED, 10).len();

    host.put(JOINED + millis(500), plain(0, Some(2_900)));
    let halved = sent(&mut host, JOINED + millis(500), 100).len();

    assert!(host.is_cold(JOINED + millis(500), key));
    // Half of 53 is 26, of which a host that is not known yet may use 13.
    assert_eq!((before, halved), (10, 3));
}

#[test]
fn an_entry_ends_the_cold_time_that_an_entry_began_and_no_other() {
    let mut host = host();
    let (key, _) = host.put(NOW, plain(0, Some(0)));
    host.put(JOINED, plain(0, Some(3_000)));
    host.put(JOINED + millis(100), plain(0, Some(0)));
    let by_entry = host.is_cold(JOINED + millis(100), key);
    host.record_cold(JOINED + millis(200), key, millis(2_000));
    host.put(JOINED + millis(300), plain(0, Some(0)));

    assert!(!by_entry);
    assert!(host.is_cold(JOINED + millis(2_199), key));
    assert!(!host.is_cold(JOINED + millis(2_200), key));
}

// Guards against a cold server that lifts the lower limit that it states, or the other way round.
#[test]
fn the_lower_limit_holds() {
    for (stated, most) in [(4.0, 5), (1_000.0, 26)] {
        let mut host = host();
        let (key, _) = host.put(JOINED, plain(0, Some(3_000)));
        host.record_limit(JOINED, key, JOINED, Some(stated));

        let count = sent(&mut host, JOINED, 100).len();

        assert!((1..=most).contains(&count), "{count} at {stated} a second");
    }
}

// Guards against cold servers that get requests while warm ones are idle, and that get none while warm ones are full.
#[test]
fn cold_servers_are_chosen_after_warm_ones_with_room() {
    let mut host = host();
    let (warm, _) = host.put(NOW, plain(0, Some(0)));
    host.cold_changes(NOW);
    let (cold, _) = host.put(JOINED, plain(1, Some(3_000)));

    let first = sent(&mut host, JOINED, 20);
    host.finish_plain(JOINED, warm, PlainOutcome::Full);
    let then = sent(&mut host, JOINED, 10);

    assert_eq!(first, vec![warm; 20]);
    assert_eq!(then, vec![cold; 10]);
}

// Guards against requests that are held, or sent to a cold server beyond its share, after a whole domain has started.
#[test]
fn a_request_that_only_cold_servers_without_room_could_take_is_refused_with_the_time() {
    let mut host = host();
    host.put(JOINED, plain(0, Some(3_000)));
    sent(&mut host, JOINED, 100);

    let soon = host.throttled_retry_after(JOINED, &service());
    let late = host.throttled_retry_after(JOINED + millis(2_700), &service());
    let warm = host.throttled_retry_after(JOINED + millis(3_000), &service());

    assert_eq!((soon, late, warm), (Some(millis(1_200)), None, None));
}

fn generation() -> Request {
    Request {
        service: service(),
        organisation: "orchard".into(),
        prompt_tokens: 100,
        output_tokens: 50,
        length_hint: None,
        arrived: JOINED,
        first_token_by: Some(JOINED + millis(900)),
        deadline: JOINED + Duration::from_secs(14),
        max_pause: Some(millis(300)),
        urgent: false,
        prefilled: false,
        leaves_at: JOINED + Duration::from_secs(14),
        prefixes: Arc::default(),
        priority: 0,
        residency: Residency::default(),
        resumable: false,
        build: None,
    }
}

/// Returns a host with one prefill engine and two decode engines, of which those in `cold` are cold.
fn engines(cold: &[usize]) -> (Dispatch<u32>, Vec<ServerKey>) {
    let mut host = host();
    host.configure_engines(&service(), 100_000, 59);
    let keys = (0..3).map(|engine| host.put(NOW, entry(engine, engine > 0)).0).collect();
    for engine in cold {
        host.put(JOINED, Entry { cold_ms: Some(3_000), ..entry(*engine, *engine > 0) });
    }
    (host, keys)
}

#[test]
fn generations_go_to_warm_decode_engines_first() {
    let (mut host, keys) = engines(&[1]);

    for _ in 0..20 {
        let Err(Effect::Admit(_, placement)) = host.submit(JOINED, generation(), 1) else {
            panic!()
        };
        assert_eq!(placement.decode, keys[2]);
    }
}

// Guards against a cold engine's slowness that is taken for that of its service, and for sickness.
#[test]
fn a_cold_engine_s_speed_is_not_measured() {
    let (mut host, keys) = engines(&[0, 1, 2]);
    let before =
        (host.tokens_per_ms(&host.servers[keys[1]]), host.pools[&service()].prefill_per_ms);
    let Err(Effect::Admit(_, placement)) = host.submit(JOINED, generation(), 1) else { panic!() };

    host.finish_prefill(placement.generation, Some(millis(800)));
    for step in 0..10 {
        host.record_tokens(JOINED + millis(250 * step), placement.generation, step);
    }
    for _ in 0..5 {
        host.record_outcome(JOINED, placement.decode, Outcome::Timeout);
    }

    let decode = &host.servers[placement.decode];
    let after = (host.tokens_per_ms(decode), host.pools[&service()].prefill_per_ms);
    assert_eq!(after, before);
    assert!(decode.health.may_try(JOINED) && !decode.health.failed_within(JOINED, millis(500)));
}

// Guards against a time-out that counts though its request was sent to a cold server, and against one that never counts.
#[test]
fn timeouts_count_again_when_their_requests_were_sent_to_a_warm_server() {
    let (mut host, keys) = engines(&[1]);

    host.record_outcome(JOINED + millis(4_000), keys[1], Outcome::Timeout);
    let soon = host.servers[keys[1]].health.failed_within(JOINED + millis(4_000), millis(500));
    host.record_outcome(JOINED + millis(4_600), keys[1], Outcome::Timeout);
    let late = host.servers[keys[1]].health.failed_within(JOINED + millis(4_600), millis(500));

    assert_eq!((soon, late), (false, true));
}

// Guards against orders, reports and freed handles that reach a cold server beyond the shares.
#[test]
fn the_router_s_own_calls_count_at_a_cold_server() {
    let (mut host, keys) = engines(&[0]);

    let admitted = (0..100).filter(|_| host.admit_call(JOINED, keys[0])).count();
    let after = host.record_send(JOINED, keys[0], 1);

    // Half of 53 as pairs is 13, of which a host that is not known yet may use 7.
    assert_eq!((admitted, after), (12, false));
}

// Guards against a server that is judged, when it has become warm, by its answers while it was cold.
#[test]
fn a_server_that_has_become_warm_starts_from_the_average() {
    let mut host = host();
    let keys = [0, 1].map(|server| host.put(NOW, plain(server, Some(0))).0);
    host.put(JOINED, plain(1, Some(3_000)));
    let answered = PlainOutcome::Answered(millis(2_000));
    host.servers[keys[1]].in_flight = 1;

    host.finish_plain(JOINED + millis(2_500), keys[1], answered);

    let warm = JOINED + millis(3_100);
    let chosen = sent(&mut host, warm, 100);
    let share = chosen.iter().filter(|key| **key == keys[1]).count();
    assert!((40..=60).contains(&share), "{share}");
}

/// Returns the most requests that all hosts together may send a cold server in any second if no host hears another.
fn sum_of_shares(hosts: usize, per_s: f64, is_engine: bool) -> (usize, usize) {
    let shares = (0..hosts).map(|number| {
        let mut host = host_at(NOW, number, hosts, per_s);
        let stage = entry(0, true).stage.filter(|_| is_engine);
        host.put(JOINED, Entry { stage, ..plain(0, Some(3_000)) });
        host.throttle.cold.share(JOINED, "e0").unwrap()
    });
    let shares: Vec<usize> = shares.collect();
    (shares.iter().sum(), shares.iter().filter(|share| **share == 0).count())
}

// Guards against shares that are rounded up on each of many hosts, and against shares of which nothing is left.
#[test]
fn shares_are_whole_requests_whose_sum_stays_within_the_bound() {
    // Hosts, requests per second, and for plain servers and engines the sum of the shares and the hosts without any.
    let expected = [
        (1, 32.0, (26, 0), (26, 0)),
        (5, 32.0, (44, 0), (42, 0)),
        (23, 32.0, (50, 0), (48, 0)),
        (30, 32.0, (51, 0), (50, 5)),
        (780, 32.0, (40, 740), (26, 767)),
        (5, 2.0, (6, 0), (6, 2)),
        (23, 2.0, (7, 16), (6, 20)),
        (30, 2.0, (7, 23), (6, 27)),
        (780, 2.0, (1, 779), (2, 779)),
    ];
    for (hosts, per_s, plain, engine) in expected {
        let sums = (sum_of_shares(hosts, per_s, false), sum_of_shares(hosts, per_s, true));
        assert_eq!(sums, (plain, engine), "{hosts} hosts, {per_s} a second");
        assert!(sums.0.0.max(sums.1.0) <= ColdBound::default().requests(per_s));
    }
}

#[test]
fn a_host_that_has_just_started_or_is_isolated_sends_cold_servers_nothing() {
    let mut host = host();
    host.put(NOW, plain(0, Some(30_000)));

    let started = sent(&mut host, NOW + millis(1_900), 10).len();
    host.set_cold_spend_until(Some(JOINED));
    let isolated = sent(&mut host, JOINED, 10).len();
    host.set_cold_spend_until(None);
    let regained = sent(&mut host, JOINED, 10).len();

    assert_eq!((started, isolated, regained), (0, 0, 10));
}

// Guards against hosts that take over the share of one that has left while its last requests still count.
#[test]
fn a_host_that_leaves_keeps_its_share_for_some_seconds() {
    let mut host = host_at(NOW, 0, 2, 32.0);
    host.put(JOINED, plain(0, Some(60_000)));
    host.set_hosts(JOINED, "host-0", [], true);

    let shares = [9_900, 10_100].map(|at| {
        host.limit_reports(JOINED + millis(at));
        host.throttle.cold.share(JOINED + millis(at), "e0")
    });

    assert_eq!(shares, [Some(18), Some(26)]);
}

/// A fleet whose server becomes cold, and what goes wrong meanwhile.
#[derive(Clone, Debug)]
struct Case {
    hosts: usize,
    per_s: f64,
    /// Whether the server was used before, and becomes cold, rather than starting.
    was_used: bool,
    /// Number of parts of the fleet that don't hear each other.
    parts: usize,
    /// Hosts that restart.
    restarts: usize,
    /// Whether a host is added of which the others don't learn.
    adds_unknown: bool,
    /// Whether the server is an engine: its process is probed on the first connection of each host, and generations are
    /// sent some time after they were placed.
    is_engine: bool,
    seed: u64,
}

impl Arbitrary for Case {
    fn arbitrary(random: &mut Gen) -> Case {
        let hosts = usize::arbitrary(random) % 30 + 1;
        Case {
            hosts,
            per_s: *random.choose(&[0.4, 2.0, 8.0, 32.0]).unwrap(),
            was_used: bool::arbitrary(random),
            parts: *random.choose(&[1, 2, hosts]).unwrap(),
            restarts: usize::arbitrary(random) % (hosts + 1),
            adds_unknown: bool::arbitrary(random),
            is_engine: bool::arbitrary(random),
            seed: u64::arbitrary(random),
        }
    }
}

/// What a server of a simulated fleet got.
struct Run {
    /// Most requests in any second after it became cold, with those that were sent just before.
    most: usize,
    /// Requests per second while it was cold.
    mean: f64,
}

impl Case {
    /// Plays the case. All hosts have more requests than the server takes.
    fn run(&self) -> Run {
        const COLD: Duration = Duration::from_secs(6);
        const STEP: Duration = Duration::from_millis(2);
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let cold_at = JOINED;
        let mut hosts: Vec<Dispatch<u32>> =
            (0..self.hosts).map(|number| host_at(NOW, number, self.hosts, self.per_s)).collect();
        if self.adds_unknown {
            hosts.push(host_at(NOW, self.hosts, self.hosts + 1, self.per_s));
        }
        let parts: Vec<usize> = hosts.iter().map(|_| rng.random_range(0..self.parts)).collect();
        let listed = |cold_ms| match self.is_engine {
            true => Entry { cold_ms: Some(cold_ms), ..entry(0, true) },
            false => plain(0, Some(cold_ms)),
        };
        if self.was_used {
            for host in &mut hosts {
                host.put(NOW, listed(0));
            }
        }
        // Hosts with a connection to the engine.
        let mut connected = vec![self.was_used || !self.is_engine; hosts.len()];
        let mut placed: Vec<(Instant, usize, u64, ServerKey)> = Vec::new();
        // A new process knows nothing, and counts as another peer.
        let mut incarnations = vec![1; hosts.len()];
        let learns_at: Vec<Instant> =
            hosts.iter().map(|_| cold_at + millis(rng.random_range(0..=800))).collect();
        let mut learned = vec![false; hosts.len()];
        let mut restarts: Vec<(Instant, usize)> = (0..self.restarts)
            .map(|number| (cold_at + millis(rng.random_range(0..4_000)), number))
            .collect();
        let warm_interval =
            1.0 / (ColdBound::default().requests(self.per_s) as f64 / 2.0).floor().max(1.0);
        let mut next_warm = cold_at - Duration::from_secs(2);
        let mut arrivals = Vec::new();
        let mut reports = Vec::new();
        let mut now = cold_at - Duration::from_secs(2);
        while now < cold_at + COLD {
            for (number, host) in hosts.iter_mut().enumerate() {
                if !learned[number] && learns_at[number] <= now {
                    learned[number] = true;
                    let left = (cold_at + COLD).since(now) + millis(800);
                    host.put(now, listed(left.as_millis() as u32));
                }
            }
            restarts.retain(|(at, number)| {
                if *at > now {
                    return true;
                }
                hosts[*number] = host_at(now, *number, self.hosts, self.per_s);
                incarnations[*number] += 1;
                learned[*number] = true;
                let left = (cold_at + COLD).since(now) + millis(800);
                hosts[*number].put(now, listed(left.as_millis() as u32));
                connected[*number] = !self.is_engine;
                false
            });
            // Before a host learns of it, the server gets requests at the usual rate.
            if self.was_used && next_warm <= now {
                next_warm = next_warm + Duration::from_secs_f64(warm_interval);
                let number = rng.random_range(0..hosts.len());
                if !learned[number] && sent(&mut hosts[number], now, 1).len() == 1 {
                    arrivals.push(now + millis(rng.random_range(0..=100)));
                }
            }
            for (number, host) in hosts.iter_mut().enumerate() {
                if learned[number] && rng.random_bool(0.2) {
                    for _ in 0..3 {
                        let Some(choice) = host.place_plain(now, &service(), &[]) else { continue };
                        let prefilling =
                            if self.is_engine { rng.random_range(0..1_500) } else { 0 };
                        let sent_at = now + millis(prefilling);
                        placed.push((sent_at, number, incarnations[number], choice.key));
                    }
                }
                if rng.random_bool(0.1) {
                    let delay = millis(rng.random_range(4..=30));
                    reports.push((
                        now + delay,
                        number,
                        incarnations[number],
                        host.limit_reports(now),
                    ));
                }
            }
            placed.retain(|(at, number, incarnation, key)| {
                if *at > now {
                    return true;
                }
                let requests = if connected[*number] { 1 } else { 2 };
                if incarnations[*number] == *incarnation
                    && hosts[*number].record_send(now, *key, requests)
                {
                    connected[*number] = true;
                    let arrives_at = now + millis(rng.random_range(0..=100));
                    arrivals.extend(std::iter::repeat_n(arrives_at, requests));
                }
                false
            });
            reports.retain(|(at, from, incarnation, content)| {
                if *at > now {
                    return true;
                }
                for to in 0..hosts.len() {
                    if to != *from && parts[to] == parts[*from] {
                        hosts[to].record_peer_limits(now, &name(*from), *incarnation, content);
                    }
                }
                false
            });
            now = now + STEP;
        }
        arrivals.sort_unstable();
        let counted: Vec<Instant> =
            arrivals.into_iter().filter(|at| *at + Duration::from_secs(1) > cold_at).collect();
        let count = |start: &Instant| {
            let second = *start + Duration::from_secs(1);
            counted.iter().filter(|at| **at >= *start && **at < second).count()
        };
        Run {
            most: counted.iter().map(count).max().unwrap_or(0),
            mean: counted.len() as f64 / COLD.as_secs_f64(),
        }
    }
}

quickcheck! {
    // Guards against all that lets hosts send a cold server more than it takes: reports that are late or missing, entries
    // that are late, hosts that have just started, and hosts that nobody knows.
    fn no_second_exceeds_the_bound_of_a_cold_server(case: Case) -> TestResult {
        let run = case.run();
        let bound = ColdBound::default().requests(case.per_s);
        if run.most > bound {
            return TestResult::error(format!("{} requests in a second, {bound} allowed", run.most));
        }
        TestResult::passed()
    }
}

// Guards against shares so small, or limits so cautious, that a domain that has come back is not used while callers wait.
#[test]
fn a_server_that_comes_back_cold_gets_load_up_to_its_rate() {
    for (hosts, per_s, least) in
        [(1, 32.0, 20.0), (5, 32.0, 26.0), (23, 32.0, 26.0), (23, 2.0, 1.5)]
    {
        let (was_used, parts, restarts, adds_unknown) = (false, 1, 0, false);
        let is_engine = false;
        let case =
            Case { hosts, per_s, was_used, parts, restarts, adds_unknown, is_engine, seed: 7 };

        let mean = case.run().mean;

        // What has accrued when the server comes back may be sent at once, and hosts that decide on the same report send
        // more than one request.
        let most = per_s * 1.25 + 1.0;
        assert!((least..=most).contains(&mean), "{hosts} hosts, {per_s}: {mean}");
    }
}

// Guards against a failure domain that comes back cold and is hardly used, or is overrun, while callers wait.
#[test]
fn a_domain_that_comes_back_cold_serves_up_to_its_limit_while_requests_wait() {
    const SERVERS: usize = 8;
    const HOSTS: usize = 40;
    let mut hosts: Vec<Dispatch<u32>> =
        (0..HOSTS).map(|number| host_at(NOW, number, HOSTS, 32.0)).collect();
    for host in &mut hosts {
        for server in 0..SERVERS {
            host.put(JOINED, plain(server, None));
        }
    }
    let mut sent_to = vec![Vec::new(); SERVERS];
    let mut reports: Vec<(usize, Vec<LimitReport>)> = Vec::new();
    for step in 0..300 {
        let now = JOINED + millis(10 * step);
        for host in &mut hosts {
            for key in sent(host, now, 2) {
                let name = &host.entry(key).unwrap().name;
                let server: usize = name[1..].parse().unwrap();
                sent_to[server].push(now);
            }
        }
        for (from, content) in reports.drain(..) {
            for (_, host) in hosts.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                host.record_peer_limits(now, &name(from), 1, &content);
            }
        }
        reports.extend(hosts.iter_mut().enumerate().map(|(n, host)| (n, host.limit_reports(now))));
    }

    for times in sent_to {
        let in_second = |start: &Instant| {
            times.iter().filter(|at| **at >= *start && at.since(*start) < millis(1_000)).count()
        };
        let most = times.iter().map(in_second).max().unwrap_or(0);
        assert!(most <= 53, "{most} requests in a second");
        assert!(times.len() >= 75, "{} requests in 3 s", times.len());
    }
}

// Guards against half of a domain's capacity that is left unused though nothing was sent there before it came back.
#[test]
fn a_server_that_was_gone_for_some_seconds_gets_the_whole_shares() {
    let mut host = host();
    for (gone_ms, share) in [(1_000, 13), (3_000, 26)] {
        host.put(JOINED, plain(0, Some(0)));
        host.remove(JOINED, "e0");
        let back = JOINED + millis(gone_ms);
        host.put(back, Entry { born: Some(gone_ms), ..plain(0, Some(3_000)) });

        assert_eq!(host.throttle.cold.share(back, "e0"), Some(share));
        host.remove(back, "e0");
    }
}
