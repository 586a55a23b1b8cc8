//! The cases, and what they share: a small deployment and its consumers.

use crate::fleet::{Host, free_ip};
use crate::http::{Channel, Message};
use crate::replica::{Replica, Run, Settings};
use crate::store::Store;
use crate::{Verdict, at_ms, note};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bound `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Bound `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const SERVICE: &str = "desk";
const KEY: &str = "k3y0f0rch4rd";
const TENANT: &str = "orchard";
const DEADLINE_MS: u64 = 1_500;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One attempt of a consumer.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    /// What is ordered: the same for the first attempt and its repeat.
    order: String,
    sent: Instant,
    /// The answer, or `None` if the channel ended without one.
    answer: Option<Message>,
}

struct Consumers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Consumers {
    /// Starts consumers that keep their channels and send one order after another, with a pause. A refusal is repeated
    /// once, on a new channel, when the answer says, as the pages allow after a promise.
    fn start(frontends: &[SocketAddr], count: usize, pause: Duration) -> Consumers {
        let stop = Arc::new(AtomicBool::new(false));
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let numbers = Arc::new(AtomicUsize::new(0));
        let threads = (0..count).map(|index| {
            let (stop, attempts, numbers) = (stop.clone(), attempts.clone(), numbers.clone());
            let frontend = frontends[index % frontends.len()];
            thread::spawn(move || {
                let mut channel = None;
                sleep(pause.mul_f64(index as f64 / count as f64));
                while !stop.load(Ordering::SeqCst) {
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let order = format!("order-{number}");
                    let first = send(&mut channel, frontend, &format!("{number:08x}a0"), &order);
                    let retry_after = promise(&first);
                    attempts.lock().unwrap().push(first);
                    if let Some(after) = retry_after {
                        sleep(after);
                        channel = None;
                        let again =
                            send(&mut channel, frontend, &format!("{number:08x}a1"), &order);
                        attempts.lock().unwrap().push(again);
                    }
                    sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Consumers { stop, threads, attempts }
    }

    fn end(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.attempts.lock().unwrap())
    }
}

/// Returns when a consumer may come back after a promise that its request has not run; `None` for any other answer.
fn promise(attempt: &Attempt) -> Option<Duration> {
    let answer = attempt.answer.as_ref()?;
    if ![408, 421, 429, 503].contains(&answer.status()) {
        return None;
    }
    let after = answer.header("retry-after").and_then(|value| value.parse().ok()).unwrap_or(0.1);
    let left = ms(DEADLINE_MS).saturating_sub(attempt.sent.elapsed());
    Some(Duration::from_secs_f64(after).min(left / 3))
}

/// Sends an order on the kept channel, or a new one. Drops the channel if it fails or the answer asks for that.
fn send(channel: &mut Option<Channel>, frontend: SocketAddr, id: &str, order: &str) -> Attempt {
    if channel.is_none() {
        *channel = Channel::open(frontend).ok();
    }
    let head = format!(
        "POST /deposit/2f HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        order.len()
    );
    let sent = Instant::now();
    let answer = channel.as_mut().and_then(|channel| channel.call(&head, order.as_bytes()).ok());
    let closes = answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close"));
    if closes {
        *channel = None;
    }
    let (status, signature, body) = answer.as_ref().map_or((0, "-", String::new()), |answer| {
        (answer.status(), answer.header("response-signature").unwrap_or("-"), answer.text())
    });
    note(&format!(
        "consumer: {id} ({order}) sent at {:.1}, answered {status} {signature} {body:?}",
        at_ms(sent)
    ));
    Attempt { id: id.to_owned(), order: order.to_owned(), sent, answer }
}

/// A small deployment: a store, hosts and the replicas of one service.
struct Deployment {
    store: Arc<Store>,
    hosts: Vec<Host>,
    replicas: Vec<Arc<Replica>>,
    runs: Arc<Mutex<Vec<Run>>>,
    ip: String,
}

struct Shape {
    hosts: usize,
    replicas: usize,
    slots: usize,
    queue: usize,
    work: Duration,
    /// Route's `timeoutMs`.
    timeout_ms: u64,
}

fn config(timeout_ms: u64) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-deposit","host":"shop.example","pathPrefix":"/deposit/","kind":"non_idempotent","timeoutMs":{timeout_ms},"targetLatencyMs":300,"priority":2,"service":"{SERVICE}","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":1,"unit":"token_count","plainTokens":200,"ratePerS":0,"burst":0}}]}}"#
    )
}

impl Deployment {
    /// Starts the store and the replicas, and prepares the hosts.
    fn new(folder: &Path, shape: &Shape) -> Result<Deployment, String> {
        let text = |error: std::io::Error| error.to_string();
        let seed =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.subsec_nanos());
        let ip = free_ip(seed).ok_or("no free address")?;
        let store = Store::start(&ip).map_err(text)?;
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let mut deployment =
            Deployment { store, hosts: Vec::new(), replicas: Vec::new(), runs, ip };
        deployment.store.put("config", "main", &config(shape.timeout_ms));
        for number in 0..shape.replicas {
            let replica = deployment.replica(&format!("i-{number:02}"), shape)?;
            deployment.replicas.push(replica);
        }
        let internal = 20_000 + (seed % 20_000) as u16;
        for number in 0..shape.hosts {
            let host_ip = match number {
                0 => deployment.ip.clone(),
                _ => free_ip(seed.wrapping_add(1_000 * number as u32)).ok_or("no free address")?,
            };
            let name = format!("frontend-zone-a-{}", number + 1);
            let host = Host::new(folder, &name, &host_ip, internal, deployment.store.address);
            deployment.hosts.push(host.map_err(text)?);
        }
        Ok(deployment)
    }

    /// Starts a replica, which registers itself.
    fn replica(&self, id: &str, shape: &Shape) -> Result<Arc<Replica>, String> {
        let settings = Settings {
            service: SERVICE.into(),
            slots: shape.slots,
            queue: shape.queue,
            work: shape.work,
        };
        let replica = Replica::start(&self.ip, id, settings, self.runs.clone());
        let replica = replica.map_err(|error| error.to_string())?;
        self.store.put("servers", id, &replica.entry("ready", 1));
        note(&format!("{id}: ready at {}", replica.address));
        Ok(replica)
    }

    fn start_hosts(&mut self, folder: &Path) -> Result<Vec<SocketAddr>, String> {
        for host in &mut self.hosts {
            host.start(&folder.join("pids"))?;
        }
        for host in &self.hosts {
            host.wait_until_ready()?;
            note(&format!("{} is ready", host.name));
        }
        Ok(self.hosts.iter().map(|host| host.frontend).collect())
    }
}

pub fn play(case: &str, trouble: bool, folder: &Path) -> Result<Verdict, String> {
    note(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    match case {
        "signature" => signature(trouble, folder),
        "unreadable" => unreadable(trouble, folder),
        "pages" => pages(trouble, folder),
        "stop" => stop(trouble, folder),
        _ => Err(format!("no case {case}")),
    }
}

/// Plays 12 s of orders, in which one of three replicas hands out wrong bytes from second 3 to second 8.
fn spoiled(
    shape: &Shape,
    consumers: (usize, Duration),
    trouble: bool,
    folder: &Path,
) -> Result<(Vec<Attempt>, Deployment), String> {
    let mut deployment = Deployment::new(folder, shape)?;
    let frontends = deployment.start_hosts(folder)?;
    sleep(CONTACT);
    let consumers = Consumers::start(&frontends, consumers.0, consumers.1);
    sleep(ms(3_000));
    if trouble {
        // One of three replicas, one answer in 34.
        deployment.replicas[0].spoiled_each.store(34, Ordering::SeqCst);
    }
    sleep(ms(5_000));
    deployment.replicas[0].spoiled_each.store(0, Ordering::SeqCst);
    sleep(ms(4_000));
    let attempts = consumers.end();
    for host in &mut deployment.hosts {
        host.kill();
    }
    Ok((attempts, deployment))
}

/// MIXED: a success without the receipt, or with a body that isn't the replica's answer to the request.
fn signature(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let shape =
        Shape { hosts: 2, replicas: 3, slots: 6, queue: 24, work: ms(30), timeout_ms: 1_500 };
    let (attempts, deployment) = spoiled(&shape, (12, ms(20)), trouble, folder)?;
    let successes: Vec<&Attempt> = attempts
        .iter()
        .filter(|attempt| attempt.answer.as_ref().is_some_and(|answer| answer.status() / 100 == 2))
        .collect();
    if successes.len() < 100 {
        return Err(format!("only {} orders were answered with success", successes.len()));
    }
    let foreign: Vec<&&Attempt> = successes
        .iter()
        .filter(|attempt| {
            let answer = attempt.answer.as_ref().expect("a success has an answer");
            let whole = format!("receipt of {}: {}", attempt.id, attempt.order);
            answer.header("response-signature").is_none() || answer.text() != whole
        })
        .collect();
    for attempt in &foreign {
        let answer = attempt.answer.as_ref().expect("a success has an answer");
        note(&format!("MIXED: {} ({}) got {:?}", attempt.id, attempt.order, answer.text()));
    }
    let text = format!(
        "{} of {} successes have no receipt and the body of another request; {} answers were followed by additional bytes",
        foreign.len(),
        successes.len(),
        deployment.replicas[0].spoiled.load(Ordering::SeqCst)
    );
    Ok(if foreign.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// A replica that leaves: when the store confirmed it, and when it exits.
struct Leaving {
    replica: Arc<Replica>,
    confirmed: Instant,
}

/// DRAIN: returns what reached replicas later than `drainMs` after the store confirmed that they drain.
fn drain_verdict(
    attempts: &[Attempt],
    runs: &[Run],
    leaving: &[Leaving],
) -> Result<Verdict, String> {
    if runs.len() < 100 {
        return Err(format!("only {} orders ran", runs.len()));
    }
    let (mut late, mut latest, mut lost) = (0, Duration::ZERO, 0);
    for Leaving { replica, confirmed } in leaving {
        for run in runs.iter().filter(|run| run.replica == replica.id) {
            let after = run.arrived.saturating_duration_since(*confirmed);
            if after <= DRAIN {
                continue;
            }
            (late, latest) = (late + 1, latest.max(after));
            let attempt = attempts.iter().find(|attempt| attempt.id == run.id);
            let status =
                attempt.and_then(|attempt| attempt.answer.as_ref()).map_or(0, Message::status);
            lost += usize::from(status != 200);
            note(&format!(
                "DRAIN: {} reached {} {:.0} ms after its draining was confirmed; the consumer got {status}",
                run.id,
                replica.id,
                after.as_secs_f64() * 1e3
            ));
        }
    }
    let text = format!(
        "{late} of {} requests reached replicas later than 2000 ms after their draining was confirmed, up to {:.0} ms; {lost} of them ran and got no success",
        attempts.len(),
        latest.as_secs_f64() * 1e3
    );
    Ok(if late == 0 { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// DRAIN, after an entry of another writer that can't be read: the replicas of the service are replaced.
fn unreadable(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let shape =
        Shape { hosts: 2, replicas: 4, slots: 6, queue: 24, work: ms(60), timeout_ms: 1_500 };
    let mut deployment = Deployment::new(folder, &shape)?;
    let frontends = deployment.start_hosts(folder)?;
    sleep(CONTACT);
    let consumers = Consumers::start(&frontends, 12, ms(20));
    sleep(ms(2_000));
    if trouble {
        // The text holds the byte 0xff, which is no text, as JSON can show it.
        let entry = r#"{"service":"\udcff","address":"\udcff","note":"test"}"#;
        deployment.store.put("servers", "probe-7", entry);
        note("store: another writer has written servers/probe-7, whose text can't be read");
    }
    sleep(CONTACT);
    let mut leaving = Vec::new();
    for number in 0..2 {
        deployment.replica(&format!("i-1{number}"), &shape)?;
        sleep(ms(500));
        let replica = deployment.replicas[number].clone();
        let confirmed = deployment.store.put("servers", &replica.id, &replica.entry("draining", 2));
        note(&format!("store: confirmed that {} drains", replica.id));
        let leaver = replica.clone();
        let store = deployment.store.clone();
        thread::spawn(move || {
            sleep(DRAIN + ms(3_000));
            store.remove("servers", &leaver.id);
            leaver.exit();
            note(&format!("{}: exits", leaver.id));
        });
        leaving.push(Leaving { replica, confirmed });
        sleep(ms(500));
    }
    sleep(DRAIN + ms(5_000));
    let attempts = consumers.end();
    let runs = deployment.runs.lock().unwrap().clone();
    drain_verdict(&attempts, &runs, &leaving)
}

/// DRAIN, after all hosts were killed while replicas were replaced: the list of replicas that they read when they start
/// again has two pages, of which the second one comes from a copy of the store that is 2 s behind.
fn pages(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let shape =
        Shape { hosts: 2, replicas: 4, slots: 6, queue: 24, work: ms(60), timeout_ms: 1_500 };
    let mut deployment = Deployment::new(folder, &shape)?;
    // 520 replicas of another service, which gets no requests here. They share a process. By name they come before
    // those of the service that gets requests, which so are on the second page.
    let other = Settings { service: "archive".into(), slots: 6, queue: 24, work: ms(60) };
    let archive = Replica::start(&deployment.ip, "a-000", other, deployment.runs.clone());
    let archive = archive.map_err(|error| error.to_string())?;
    for number in 0..520 {
        deployment.store.put("servers", &format!("a-{number:03}"), &archive.entry("ready", 1));
    }
    // The store answers calls that may get old data from such a copy, all the while.
    deployment.store.stale_ms.store(2_000, Ordering::SeqCst);
    sleep(ms(2_500));
    let frontends = deployment.start_hosts(folder)?;
    sleep(CONTACT);
    let consumers = Consumers::start(&frontends, 12, ms(20));
    sleep(ms(2_000));
    // A replica of each service is replaced.
    let replica = deployment.replicas[0].clone();
    let confirmed = deployment.store.put("servers", &replica.id, &replica.entry("draining", 2));
    note(&format!("store: confirmed that {} drains", replica.id));
    sleep(ms(300));
    deployment.store.put("servers", "a-010", &archive.entry("draining", 2));
    note("store: confirmed that a-010 drains");
    sleep(ms(200));
    let mut in_touch = confirmed;
    if trouble {
        for host in &mut deployment.hosts {
            host.kill();
            host.write_settings(false).map_err(|error| error.to_string())?;
        }
        note("all hosts killed");
        sleep(ms(500));
        deployment.start_hosts(folder)?;
        in_touch = Instant::now() + CONTACT;
    }
    sleep(DRAIN + ms(5_000));
    deployment.store.remove("servers", &replica.id);
    replica.exit();
    note(&format!("{}: exits", replica.id));
    sleep(ms(2_000));
    let attempts = consumers.end();
    let mut runs = deployment.runs.lock().unwrap().clone();
    // What hosts sent on within `contactMs` after their start doesn't count.
    runs.retain(|run| {
        run.replica != replica.id || run.arrived <= confirmed || run.arrived >= in_touch
    });
    drain_verdict(&attempts, &runs, &[Leaving { replica, confirmed }])
}

/// A request that was sent no later than this after SIGTERM may be cut off at the end of `graceS`, by the rule LOST.
const EXCUSED: Duration = Duration::from_millis(3_000);
/// Bound `graceS` of the settings.
const GRACE: Duration = Duration::from_millis(8_000);

/// LOST, at a planned stop: consumers whose heads take up to 2.6 s, within `headerTimeoutMs`, and whose requests take 4 s.
fn stop(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let shape =
        Shape { hosts: 2, replicas: 3, slots: 6, queue: 24, work: ms(4_000), timeout_ms: 14_000 };
    let mut deployment = Deployment::new(folder, &shape)?;
    let frontends = deployment.start_hosts(folder)?;
    sleep(CONTACT);
    // Each consumer has a channel from before, and begins its request 1.0 to 2.3 s after SIGTERM.
    let stop_at = Instant::now() + ms(1_000);
    let threads: Vec<JoinHandle<SlowAttempt>> = (0..6)
        .map(|number| {
            let frontend = frontends[0];
            thread::spawn(move || {
                let begin = stop_at + ms(1_000 + number * 260);
                slow_request(frontend, &format!("{number:08x}a0"), begin, ms(2_600))
            })
        })
        .collect();
    sleep(stop_at.saturating_duration_since(Instant::now()));
    if trouble {
        deployment.hosts[0].terminate();
        note(&format!("{} gets SIGTERM", deployment.hosts[0].name));
        let ended = deployment.hosts[0].wait_for_end(GRACE);
        note(&format!(
            "{} {}",
            deployment.hosts[0].name,
            if ended { "has ended" } else { "is killed" }
        ));
        deployment.hosts[0].kill();
    }
    let attempts: Vec<SlowAttempt> =
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let runs = deployment.runs.lock().unwrap().clone();
    let mut lost = 0;
    for attempt in &attempts {
        let ran = runs.iter().any(|run| run.id == attempt.id);
        let sent = attempt.sent.saturating_duration_since(stop_at);
        let is_complete = attempt.status == 200;
        let is_lost = ran && !is_complete && sent > EXCUSED;
        lost += usize::from(is_lost);
        note(&format!(
            "{}{}: its last byte was sent {:.0} ms after SIGTERM; it {}; answer {}",
            if is_lost { "LOST: " } else { "" },
            attempt.id,
            sent.as_secs_f64() * 1e3,
            if ran { "ran at a replica" } else { "didn't run" },
            attempt.status
        ));
    }
    if !trouble && attempts.iter().any(|attempt| attempt.status != 200) {
        return Err("not all requests were answered without the stop".into());
    }
    let text = format!(
        "{lost} of {} requests that were complete later than 3000 ms after the time of the SIGTERM were passed on and cut off",
        attempts.len()
    );
    Ok(if lost == 0 { Verdict::Held(text) } else { Verdict::Broken(text) })
}

struct SlowAttempt {
    id: String,
    /// When its last byte was sent.
    sent: Instant,
    /// Status of the complete answer; 0 if the channel ended without one.
    status: u16,
}

/// Sends a request whose head takes some time, on a channel that has served one before.
fn slow_request(frontend: SocketAddr, id: &str, begin: Instant, takes: Duration) -> SlowAttempt {
    let mut attempt = SlowAttempt { id: id.to_owned(), sent: begin, status: 0 };
    let Ok(mut channel) = Channel::open(frontend) else { return attempt };
    // A request for a route that doesn't exist shows that the channel is kept.
    let first = channel.call("GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n", b"");
    note(&format!(
        "consumer: {id}: channel open, answer {}",
        first.map_or(0, |answer| answer.status())
    ));
    sleep(begin.saturating_duration_since(Instant::now()));
    let order = format!("order-{id}");
    let first_part = "POST /deposit/2f HTTP/1.1\r\nHost: shop.example\r\n".to_owned();
    let rest = format!(
        "Attempt-Id: {id}\r\nDeadline-Ms: 14000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{order}",
        order.len()
    );
    if channel.write(first_part.as_bytes()).is_err() {
        return attempt;
    }
    note(&format!("consumer: {id}: the head begins"));
    sleep(takes);
    attempt.sent = Instant::now();
    let answer = channel.call(&rest, b"");
    attempt.status = answer.as_ref().map_or(0, Message::status);
    note(&format!(
        "consumer: {id}: answer {}",
        answer.map_or_else(
            |error| error.to_string(),
            |answer| format!("{} {:?}", answer.status(), answer.text())
        )
    ));
    attempt
}
