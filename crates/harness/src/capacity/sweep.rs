//! Parameter sweeps: starts a fleet for each value of a variable and measures its resource usage,
//! idle or under a constant request rate. A variable is what a sweep changes, such as the number of
//! entry hosts.

use super::slope::{Line, fit};
use super::usage::{self, Usage};
use crate::caller::{self, Call};
use crate::error::Error;
use crate::fleet::{Fleet, Settings};
use chestnutrack_document::Document;
use chestnutrack_document::model::{Key, Role};
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between the start of a fleet and its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Length of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Added server `n`, counted from 1, has the address whose last octet is this plus `n`.
const FIRST_ADDED_HOST: u8 = 40;
/// Tokens requested by each completion of the load.
const OUTPUT_TOKENS: u32 = 16;

/// Edits a document before its fleet starts.
type Edit = fn(&mut Document);

/// How one metric of a role depends on one variable.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Variable of the sweep.
    pub variable: &'static str,
    /// Role that the metric belongs to.
    pub role: &'static str,
    /// Metric, with its unit.
    pub metric: &'static str,
    /// Measured values: the variable and the metric.
    pub points: Vec<(f64, f64)>,
    /// Line fitted through the points by least squares.
    pub line: Line,
}

/// Resource usage of one fleet during a measurement; `side` stands for the side processes.
struct Sample {
    entry: MeanUsage,
    side: MeanUsage,
    platform_calls_per_s: f64,
    link_bytes_per_s: f64,
}

/// Mean resource usage of the processes of a role.
#[derive(Clone, Copy, Default)]
struct MeanUsage {
    core_per_mille: f64,
    memory_mib: f64,
}

/// Runs every sweep.
///
/// # Errors
///
/// Returns an error if a fleet fails to start or a call to one of its processes fails.
pub async fn sweep_all(progress: impl Fn(&str)) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    rows.extend(sweep_entries(&progress).await?);
    rows.extend(sweep_servers(&progress).await?);
    rows.extend(sweep_organisations(&progress).await?);
    rows.extend(sweep_requests(&progress).await?);
    Ok(rows)
}

/// Measures idle fleets with a growing number of entry hosts.
async fn sweep_entries(progress: &impl Fn(&str)) -> Result<Vec<Row>, Error> {
    let mut samples = Vec::new();
    for entries in [2, 4, 6, 8] {
        progress(&format!("{entries} entry hosts"));
        let mut fleet = start_fleet(entries, with_decode_servers::<1>).await?;
        samples.push((f64::from(entries), measure(&mut fleet).await?));
    }
    Ok(rows("entry hosts", &samples))
}

/// Measures idle fleets with a growing number of decode servers.
async fn sweep_servers(progress: &impl Fn(&str)) -> Result<Vec<Row>, Error> {
    let edits: [(u8, Edit); 4] = [
        (4, with_decode_servers::<4>),
        (8, with_decode_servers::<8>),
        (16, with_decode_servers::<16>),
        (32, with_decode_servers::<32>),
    ];
    let mut samples = Vec::new();
    for (servers, edit) in edits {
        progress(&format!("{servers} decode servers"));
        let mut fleet = start_fleet(2, edit).await?;
        samples.push((f64::from(servers), measure(&mut fleet).await?));
    }
    Ok(rows("decode servers", &samples))
}

/// Measures idle fleets with a growing number of organisations.
async fn sweep_organisations(progress: &impl Fn(&str)) -> Result<Vec<Row>, Error> {
    let edits: [(u16, Edit); 4] = [
        (50, with_organisations::<50>),
        (200, with_organisations::<200>),
        (400, with_organisations::<400>),
        (790, with_organisations::<790>),
    ];
    let mut samples = Vec::new();
    for (organisations, edit) in edits {
        progress(&format!("{organisations} organisations"));
        let mut fleet = start_fleet(2, edit).await?;
        samples.push((f64::from(organisations), measure(&mut fleet).await?));
    }
    Ok(rows("organisations", &samples))
}

/// Measures fleets under a growing rate of requests.
async fn sweep_requests(progress: &impl Fn(&str)) -> Result<Vec<Row>, Error> {
    let mut samples = Vec::new();
    for rate in [10, 20, 40, 60] {
        progress(&format!("{rate} requests a second"));
        let mut fleet = start_fleet(2, with_decode_servers::<4>).await?;
        let calls = 0..rate * (SETTLE_TIME + MEASURE_TIME).as_secs();
        let sending = send_load(&fleet, rate, calls.end);
        let handle = tokio::spawn(sending);
        let sample = measure(&mut fleet).await?;
        handle.abort();
        samples.push((rate as f64, sample));
    }
    Ok(rows("requests a second", &samples))
}

/// Starts a fleet with relays, whose forwarded bytes are measured, and with an edited document.
async fn start_fleet(entries: u8, edit: Edit) -> Result<Fleet, Error> {
    Fleet::start(Settings { entries, links: true, edit, ..Settings::default() }).await
}

/// Sends `calls` completions at a constant rate per second to the entry hosts in round-robin order.
fn send_load(fleet: &Fleet, rate: u64, calls: u64) -> impl Future<Output = ()> + Send + use<> {
    let key = fleet.key(&fleet.document.organisations[0].name);
    let model = fleet.document.pools[0].name.to_string();
    let prompt = "Which pies can be picked up before noon? ".repeat(20);
    let call: Call =
        caller::completion("/v1/completions", &model, &key, &prompt, OUTPUT_TOKENS, true);
    let entries = fleet.entries();
    async move {
        let start = Instant::now();
        for number in 0..calls {
            tokio::time::sleep_until(start + Duration::from_micros(number * 1_000_000 / rate))
                .await;
            let index = usize::try_from(number).unwrap_or_default() % entries.len();
            let (address, call) = (entries[index], call.clone());
            tokio::spawn(async move { caller::call(address, &call).await });
        }
    }
}

/// Waits until the fleet has settled, then measures it for [`MEASURE_TIME`].
async fn measure(fleet: &mut Fleet) -> Result<Sample, Error> {
    sleep(SETTLE_TIME).await;
    let before = snapshot(fleet).await?;
    sleep(MEASURE_TIME).await;
    let after = snapshot(fleet).await?;
    let rate_per_s = |before: f64, after: f64| (after - before) / MEASURE_TIME.as_secs_f64();
    Ok(Sample {
        entry: mean_usage(&before.entries, &after.entries),
        side: mean_usage(&before.sides, &after.sides),
        platform_calls_per_s: rate_per_s(before.platform_calls, after.platform_calls),
        link_bytes_per_s: rate_per_s(before.link_bytes, after.link_bytes),
    })
}

/// Counters of a fleet at one point in time.
struct Snapshot {
    entries: Vec<Usage>,
    sides: Vec<Usage>,
    platform_calls: f64,
    link_bytes: f64,
}

/// Reads the counters of a fleet.
async fn snapshot(fleet: &mut Fleet) -> Result<Snapshot, Error> {
    let counts = fleet.get_json(fleet.platform(), "/control/counts").await?;
    let link_bytes = fleet.side_link_bytes() as f64;
    let mut snapshot = Snapshot {
        entries: Vec::new(),
        sides: Vec::new(),
        platform_calls: total_calls(&counts),
        link_bytes,
    };
    for name in fleet.process_names() {
        let usage = usage::read(fleet.process(&name)?);
        if name.starts_with("entry-") {
            snapshot.entries.push(usage);
        } else if name.starts_with("side-") {
            snapshot.sides.push(usage);
        }
    }
    Ok(snapshot)
}

/// Returns the number of calls of all kinds that the object interface has counted.
fn total_calls(counts: &Value) -> f64 {
    let kinds = ["read", "list", "write", "delete", "watch", "hosts"];
    kinds.iter().filter_map(|kind| counts[kind].as_f64()).sum()
}

/// Returns the mean usage of the processes of a role between two snapshots, [`MEASURE_TIME`] apart.
fn mean_usage(before: &[Usage], after: &[Usage]) -> MeanUsage {
    let count = after.len().max(1) as f64;
    let used: u64 = after
        .iter()
        .zip(before)
        .map(|(after, before)| after.processor_ns.saturating_sub(before.processor_ns))
        .sum();
    let memory: u64 = after.iter().map(|usage| usage.memory_bytes).sum();
    let core_share = used as f64 / count / MEASURE_TIME.as_nanos() as f64;
    MeanUsage {
        core_per_mille: core_share * 1_000.0,
        memory_mib: memory as f64 / count / f64::from(1 << 20),
    }
}

/// Returns one row for each metric of a sweep, with the line fitted through its points. `variable` is
/// the name of what the sweep changed; each sample is paired with its value.
fn rows(variable: &'static str, samples: &[(f64, Sample)]) -> Vec<Row> {
    let row = |role, metric, value: fn(&Sample) -> f64| {
        let points: Vec<(f64, f64)> = samples.iter().map(|(x, s)| (*x, value(s))).collect();
        let line = fit(&points);
        Row { variable, role, metric, points, line }
    };
    vec![
        row("entry", "thousandths of a core", |sample| sample.entry.core_per_mille),
        row("entry", "MiB resident", |sample| sample.entry.memory_mib),
        row("side", "thousandths of a core", |sample| sample.side.core_per_mille),
        row("side", "MiB resident", |sample| sample.side.memory_mib),
        row("all side links", "bytes a second", |sample| sample.link_bytes_per_s),
        row("object interface", "calls a second", |sample| sample.platform_calls_per_s),
    ]
}

/// Reduces each pool to at most one prefill server, one plain service and `DECODE` decode servers.
fn with_decode_servers<const DECODE: u8>(document: &mut Document) {
    for pool in &mut document.pools {
        let mut servers = Vec::new();
        for role in [Role::Prefill, Role::Decode, Role::Plain] {
            servers.extend(pool.servers.iter().find(|server| server.role == role).cloned());
        }
        let decode = servers.iter().find(|server| server.role == Role::Decode).cloned();
        for number in 1..DECODE {
            let Some(mut server) = decode.clone() else { break };
            let host = FIRST_ADDED_HOST + number;
            server.name = format!("added-{number}").into();
            server.host = format!("host-{host}").into();
            server.side.set_ip(on_host(server.side.ip(), host));
            server.address.set_ip(on_host(server.address.ip(), host));
            servers.push(server);
        }
        pool.servers = servers;
    }
}

/// Replaces the last octet of an IPv4 address by a host number.
fn on_host(address: IpAddr, host: u8) -> IpAddr {
    match address {
        IpAddr::V4(address) => {
            let [first, second, third, _] = address.octets();
            IpAddr::V4(Ipv4Addr::new(first, second, third, host))
        }
        IpAddr::V6(address) => IpAddr::V6(address),
    }
}

/// Reduces each pool to one server per role and adds organisations up to `COUNT`. The added
/// organisations' keys have made-up hashes, which belong to no key.
fn with_organisations<const COUNT: usize>(document: &mut Document) {
    with_decode_servers::<1>(document);
    let Some(first) = document.organisations.first().cloned() else { return };
    for number in document.organisations.len()..COUNT {
        let mut added = first.clone();
        added.name = format!("organisation-{number}").into();
        added.keys = vec![Key {
            id: format!("organisation-{number}-1").into(),
            hash: format!("{number:064x}"),
        }];
        document.organisations.push(added);
    }
}
