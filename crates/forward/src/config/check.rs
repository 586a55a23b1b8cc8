//! Checks a configuration before it is put in force: errors, entries that can never match and limits that contradict each
//! other. All findings are reported together, each with its place.

use super::{Config, Organisation, Route, Service};
use chestnutrack_document::Findings;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Shortest window over which allowances hold. A request that costs more than an organisation may spend in a window of
/// this length may never be admitted.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(1);

/// Returns all findings, none if the configuration is consistent.
pub fn check(config: &Config) -> Findings {
    let mut findings = Findings::default();
    check_unique(&mut findings, "routes", config.routes.iter().map(|route| &route.name));
    check_unique(&mut findings, "services", config.services.iter().map(|service| &service.name));
    let organisations = config.organisations.iter().map(|organisation| &organisation.name);
    check_unique(&mut findings, "organisations", organisations);
    let services: HashMap<&str, &Service> =
        config.services.iter().map(|service| (&*service.name, service)).collect();
    for route in &config.routes {
        check_route(&mut findings, route, &services);
    }
    check_shadowed(&mut findings, &config.routes);
    check_services(&mut findings, config);
    check_organisations(&mut findings, &config.organisations);
    check_limits(&mut findings, config);
    findings
}

/// Reports names that occur more than once. Only one of the entries is used.
fn check_unique<'a>(
    findings: &mut Findings,
    list: &str,
    names: impl Iterator<Item = &'a Arc<str>>,
) {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name) {
            findings.add(format!("{list}[{name}]"), "another entry has the same name");
        }
    }
}

/// Checks a route by itself and against the services that it leads to.
fn check_route(findings: &mut Findings, route: &Route, services: &HashMap<&str, &Service>) {
    let place = |field: &str| format!("routes[{}].{field}", route.name);
    if route.host.is_empty() || route.host.contains(':') {
        findings.add(
            place("host"),
            format!("`{}` matches no request: a host name without a port is needed", route.host),
        );
    }
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        findings.add(
            place("prefix"),
            format!("`{}` does not begin and end with a slash", route.prefix),
        );
    }
    if route.timeout.is_zero() {
        findings.add(place("timeout_ms"), "0: no request can be answered in time");
    }
    if route.target_latency > route.timeout {
        let (target, timeout) = (route.target_latency.as_millis(), route.timeout.as_millis());
        let message = format!("{target} ms is longer than the timeout of {timeout} ms");
        findings.add(place("target_ms"), message);
    }
    if let Some(pause) = route.max_pause.filter(|pause| *pause > route.timeout) {
        let (pause, timeout) = (pause.as_millis(), route.timeout.as_millis());
        let message = format!("{pause} ms is longer than the timeout of {timeout} ms");
        findings.add(place("pause_ms"), message);
    }
    if route.max_pause.is_some() && !route.kind.is_stream() {
        findings.add(place("pause_ms"), "only a route for streams has pauses");
    }
    if route.attempts == 0 {
        findings.add(place("attempts"), "0: no request can be sent");
    }
    if route.split.iter().all(|(_, weight)| *weight == 0) {
        findings.add(place("split"), "leads to no service: there is none with a weight");
    }
    for (name, weight) in &route.split {
        let Some(service) = services.get(&**name) else {
            findings.add(place("split"), format!("no service is named `{name}`"));
            continue;
        };
        if *weight == 0 && route.split.len() > 1 {
            findings.add(place("split"), format!("`{name}` has the weight 0 and gets no request"));
        }
        if service.engine.is_some() != route.kind.is_stream() {
            let kind =
                if route.kind.is_stream() { "has no engines to stream" } else { "only streams" };
            findings.add(
                place("split"),
                format!("`{name}` {kind}, which does not fit the kind of the route"),
            );
        }
    }
}

/// Reports routes that never match since another one has the same host and prefix.
fn check_shadowed(findings: &mut Findings, routes: &[Route]) {
    let mut seen: HashMap<(String, &str), &Arc<str>> = HashMap::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), &*route.prefix);
        match seen.get(&key) {
            Some(first) => findings.add(
                format!("routes[{}].prefix", route.name),
                format!("never matches: `{first}` has the same host and prefix"),
            ),
            None => drop(seen.insert(key, &route.name)),
        }
    }
}

/// Checks the services, and reports those to which no route leads.
fn check_services(findings: &mut Findings, config: &Config) {
    let used: HashSet<&str> = config
        .routes
        .iter()
        .flat_map(|route| &route.split)
        .filter(|(_, weight)| *weight > 0)
        .map(|(name, _)| &**name)
        .collect();
    for service in &config.services {
        let place = |field: &str| format!("services[{}]{field}", service.name);
        if !used.contains(&*service.name) {
            findings.add(place(""), "no route leads to it");
        }
        if service.connections == 0 {
            findings.add(place(".connections"), "0: no request can be sent");
        }
        let Some(engine) = service.engine else { continue };
        if engine.slots == 0 {
            findings.add(place(".engine.slots"), "0: no request can run");
        }
        if engine.kv_tokens == 0 {
            findings.add(place(".engine.kv_tokens"), "0: no prompt fits");
        }
        if engine.handle_ttl.is_zero() {
            findings.add(place(".engine.handle_ttl_ms"), "0: no KV cache can be fetched in time");
        }
    }
}

/// Checks the organisations, and reports keys that two of them hold.
fn check_organisations(findings: &mut Findings, organisations: &[Organisation]) {
    let mut holders: HashMap<&str, &str> = HashMap::new();
    for organisation in organisations {
        let place = |field: &str| format!("organisations[{}].{field}", organisation.name);
        if organisation.keys.is_empty() {
            findings
                .add(place("keys"), "there is no key, so no request can be of this organisation");
        }
        for (index, key) in organisation.keys.iter().enumerate() {
            // The key itself must not appear in any output.
            let key_place = place(&format!("keys[{index}]"));
            if key.is_empty() {
                findings.add(key_place, "is empty and matches no request");
            } else if let Some(holder) = holders.insert(key, &organisation.name) {
                findings
                    .add(key_place, format!("is held by `{holder}` too; the last holder is used"));
            }
        }
        if organisation.rate == 0 && organisation.burst > 0 {
            findings.add(place("burst"), "has no effect without a rate");
        }
        let spendable = organisation
            .rate
            .saturating_mul(ALLOWANCE_WINDOW.as_secs())
            .saturating_add(organisation.burst);
        if organisation.rate > 0 && organisation.plain_tokens > spendable {
            let message = format!(
                "{} is more than the rate and the burst allow in {} s ({spendable})",
                organisation.plain_tokens,
                ALLOWANCE_WINDOW.as_secs()
            );
            findings.add(place("plain_tokens"), message);
        }
    }
}

/// Checks the limits on what callers may send.
fn check_limits(findings: &mut Findings, config: &Config) {
    let limits = config.limits;
    for (field, is_zero) in [
        ("head_bytes", limits.head_bytes == 0),
        ("head_within_ms", limits.head_timeout.is_zero()),
        ("idle_ms", limits.idle_timeout.is_zero()),
    ] {
        if is_zero {
            findings.add(format!("limits.{field}"), "0: no request can be received");
        }
    }
    if limits.head_timeout > limits.idle_timeout {
        let (head, idle) = (limits.head_timeout.as_millis(), limits.idle_timeout.as_millis());
        let message = format!("{head} ms is longer than the idle timeout of {idle} ms");
        findings.add("limits.head_within_ms", message);
    }
}
