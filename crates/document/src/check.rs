//! Validates a document, the configuration of one service, and collects all findings (its errors), each
//! with its place: the path of the field within the document, such as `pools[0].servers[1].slots`.

use crate::finding::Findings;
use crate::key::Hash;
use crate::model::{Document, Kind, Organisation, Pool, Role, Route, Server};
use std::collections::HashSet;
use std::ops::RangeInclusive;

/// Largest document that is accepted, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1 << 20;
/// Allowed length of a name, in characters.
const NAME_CHARS: RangeInclusive<usize> = 1..=64;
/// Allowed length of the salt, in characters.
const SALT_CHARS: RangeInclusive<usize> = 16..=128;
/// Allowed deadlines, in milliseconds: up to a day.
const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;
/// Allowed rates, bursts, costs and memory sizes, in tokens; also the range of link rates, in bytes a
/// second.
const TOKENS: RangeInclusive<u64> = 1..=1_000_000_000_000;
/// Allowed number of slots of one server.
const SLOTS: RangeInclusive<u32> = 1..=65_536;
/// Allowed limits of body sizes, in bytes.
const BODY_BYTES: RangeInclusive<usize> = 1..=1 << 26;
/// Allowed limits of one prompt or answer, in tokens.
const REQUEST_TOKENS: RangeInclusive<u32> = 1..=1 << 20;
/// Allowed latency targets, in milliseconds.
const TARGET_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Allowed objectives, in requests per thousand.
const OBJECTIVE_PER_MILLE: RangeInclusive<u32> = 1..=999;

/// Parses and checks a document.
///
/// # Errors
///
/// Returns all findings of the check, or one finding for a document that is too large or has a syntax
/// error, with its line and column.
pub fn parse(bytes: &[u8]) -> Result<Document, Findings> {
    let mut findings = Findings::default();
    if bytes.len() > DOCUMENT_BYTES_MAX {
        let message = format!("{} bytes; at most {DOCUMENT_BYTES_MAX} are allowed", bytes.len());
        findings.add("", message);
        return Err(findings);
    }
    let document = match serde_json::from_slice::<Document>(bytes) {
        Ok(document) => document,
        Err(error) => {
            let place = format!("line {} column {}", error.line(), error.column());
            findings.add(place, error.to_string());
            return Err(findings);
        }
    };
    let findings = check(&document);
    if findings.is_empty() { Ok(document) } else { Err(findings) }
}

/// Checks a parsed document and returns all findings, none if it is valid.
pub fn check(document: &Document) -> Findings {
    let mut all_findings = Findings::default();
    let findings = &mut all_findings;
    check_name(findings, "service", &document.service);
    let salt_chars = document.key_salt.chars().count();
    check_range(findings, "key_salt", salt_chars, &SALT_CHARS, "characters");
    check_targets(findings, document);
    check_bounds(findings, document);
    check_organisations(findings, &document.organisations);
    check_pools(findings, &document.pools);
    check_routes(findings, document);
    all_findings
}

/// Checks the latency targets and the objective.
fn check_targets(findings: &mut Findings, document: &Document) {
    let targets = &document.targets;
    check_range(findings, "targets.first_token_ms", targets.first_token_ms, &TARGET_MS, "ms");
    check_range(findings, "targets.between_tokens_ms", targets.between_tokens_ms, &TARGET_MS, "ms");
    let place = "targets.objective_per_mille";
    check_range(findings, place, targets.objective_per_mille, &OBJECTIVE_PER_MILLE, "per mille");
}

/// Checks the limits on requests and connections.
fn check_bounds(findings: &mut Findings, document: &Document) {
    let bounds = &document.bounds;
    check_range(findings, "bounds.body_bytes", bounds.body_bytes, &BODY_BYTES, "bytes");
    check_range(findings, "bounds.prompt_tokens", bounds.prompt_tokens, &REQUEST_TOKENS, "tokens");
    check_range(findings, "bounds.output_tokens", bounds.output_tokens, &REQUEST_TOKENS, "tokens");
    let allowed_counts = 1..=1_000_000;
    let place = "bounds.waiting_per_organisation";
    check_range(findings, place, bounds.waiting_per_organisation, &allowed_counts, "requests");
    check_range(findings, "bounds.connections", bounds.connections, &allowed_counts, "connections");
}

/// Checks the organisations and their keys. Names, key identifiers and key hashes must be unique within
/// the document.
fn check_organisations(findings: &mut Findings, organisations: &[Organisation]) {
    let mut names = HashSet::new();
    let mut key_ids = HashSet::new();
    let mut hashes = HashSet::new();
    for (index, organisation) in organisations.iter().enumerate() {
        let place = format!("organisations[{index}]");
        check_unique_name(findings, &format!("{place}.name"), &organisation.name, &mut names);
        let rate = organisation.rate_tokens_per_s;
        check_range(
            findings,
            &format!("{place}.rate_tokens_per_s"),
            rate,
            &TOKENS,
            "tokens a second",
        );
        let burst = organisation.burst_tokens;
        check_range(findings, &format!("{place}.burst_tokens"), burst, &TOKENS, "tokens");
        for (index, key) in organisation.keys.iter().enumerate() {
            let place = format!("{place}.keys[{index}]");
            check_unique_name(findings, &format!("{place}.id"), &key.id, &mut key_ids);
            let Some(hash) = Hash::from_hex(&key.hash) else {
                findings.add(format!("{place}.hash"), "not 64 hexadecimal digits");
                continue;
            };
            if !hashes.insert(hash) {
                findings.add(format!("{place}.hash"), "the same key stands twice in the document");
            }
        }
    }
}

/// Checks the pools and their servers. Pool names, server names and addresses of side processes must be
/// unique within the document.
fn check_pools(findings: &mut Findings, pools: &[Pool]) {
    let mut names = HashSet::new();
    let mut servers = HashSet::new();
    let mut side_addresses = HashSet::new();
    for (index, pool) in pools.iter().enumerate() {
        let place = format!("pools[{index}]");
        check_unique_name(findings, &format!("{place}.name"), &pool.name, &mut names);
        for (index, server) in pool.servers.iter().enumerate() {
            let place = format!("{place}.servers[{index}]");
            check_unique_name(findings, &format!("{place}.name"), &server.name, &mut servers);
            if !side_addresses.insert(server.side) {
                findings.add(format!("{place}.side"), "another server has the same address");
            }
            check_server(findings, &place, pool.kind, server);
        }
        check_roles(findings, &place, pool);
    }
}

/// Checks one server at `place`. Its role must be plain exactly in a plain pool; memory and link
/// bandwidth matter only for engines.
fn check_server(findings: &mut Findings, place: &str, kind: Kind, server: &Server) {
    check_name(findings, &format!("{place}.host"), &server.host);
    check_name(findings, &format!("{place}.failure_domain"), &server.failure_domain);
    check_range(findings, &format!("{place}.slots"), server.slots, &SLOTS, "requests");
    let is_plain = server.role == Role::Plain;
    if is_plain != (kind == Kind::Plain) {
        findings.add(format!("{place}.role"), "does not fit the pool's kind");
    }
    if is_plain {
        return;
    }
    check_range(findings, &format!("{place}.kv_tokens"), server.kv_tokens, &TOKENS, "tokens");
    let rate = server.link_bytes_per_s;
    check_range(findings, &format!("{place}.link_bytes_per_s"), rate, &TOKENS, "bytes a second");
}

/// Checks that a pool has a server, and that a model pool has one of each role.
fn check_roles(findings: &mut Findings, place: &str, pool: &Pool) {
    let place = format!("{place}.servers");
    if pool.servers.is_empty() {
        findings.add(place, "a pool needs at least one server");
        return;
    }
    if pool.kind == Kind::Plain {
        return;
    }
    for (role, text) in [(Role::Prefill, "prefill"), (Role::Decode, "decode")] {
        if !pool.servers.iter().any(|server| server.role == role) {
            findings.add(place.clone(), format!("a model pool needs at least one {text} server"));
        }
    }
}

/// Checks the routes. Their names must be unique, and so must their combinations of method, path and
/// model.
fn check_routes(findings: &mut Findings, document: &Document) {
    let mut names = HashSet::new();
    let mut combinations_seen = HashSet::new();
    for (index, route) in document.routes.iter().enumerate() {
        let place = format!("routes[{index}]");
        check_unique_name(findings, &format!("{place}.name"), &route.name, &mut names);
        check_method_and_path(findings, &place, route);
        let combination = (route.method.clone(), route.path.clone(), route.model.clone());
        if !combinations_seen.insert(combination) {
            findings
                .add(format!("{place}.path"), "another route has the same method, path and model");
        }
        check_range(
            findings,
            &format!("{place}.deadline_ms"),
            route.deadline_ms,
            &DEADLINE_MS,
            "ms",
        );
        check_range(
            findings,
            &format!("{place}.cost_tokens"),
            route.cost_tokens,
            &TOKENS,
            "tokens",
        );
        check_route_pool(findings, &place, document, route);
        check_route_flags(findings, &place, route);
    }
}

/// Checks that the path is absolute, without a query or fragment, with `*` only as its last segment, and
/// that the method is in upper case.
fn check_method_and_path(findings: &mut Findings, place: &str, route: &Route) {
    let path = &route.path;
    let wildcard_inside = path.strip_suffix("/*").unwrap_or(path).contains('*');
    if !path.starts_with('/') || wildcard_inside || path.contains(['?', '#', ' ']) {
        findings.add(
            format!("{place}.path"),
            "must start with '/' and contain no query; '*' is allowed only as its last segment",
        );
    }
    let is_upper_case = route.method.chars().all(|c| c.is_ascii_uppercase());
    if route.method.is_empty() || !is_upper_case {
        findings.add(format!("{place}.method"), "must be an HTTP method in upper case");
    }
}

/// Checks that the route's pool exists and serves the route's API.
fn check_route_pool(findings: &mut Findings, place: &str, document: &Document, route: &Route) {
    let Some(pool) = document.pools.iter().find(|pool| pool.name == route.pool) else {
        findings.add(format!("{place}.pool"), format!("no pool is named `{}`", route.pool));
        return;
    };
    if (pool.kind == Kind::Model) != route.api.is_model() {
        findings.add(format!("{place}.api"), format!("does not fit pool `{}`", pool.name));
    }
}

/// Checks that the route's flags fit one another and its API. A request on a route that is marked `once`
/// must take effect at most once.
fn check_route_flags(findings: &mut Findings, place: &str, route: &Route) {
    if route.once && route.idempotent {
        findings
            .add(format!("{place}.idempotent"), "a route that must land once can't be idempotent");
    }
    if route.once && route.open {
        findings.add(format!("{place}.open"), "a route that must land once can't be open to all");
    }
    if route.api.is_model() && route.model.is_none() {
        findings.add(format!("{place}.model"), "a model route needs a model name");
    }
    if route.api.is_model() && route.method.as_ref() != "POST" {
        findings.add(format!("{place}.method"), "a model route is called by POST");
    }
}

/// Checks a name as [`check_name`] does, and that it is not among the names seen so far.
fn check_unique_name(findings: &mut Findings, place: &str, text: &str, seen: &mut HashSet<String>) {
    check_name(findings, place, text);
    if !seen.insert(text.to_owned()) {
        findings.add(place, format!("`{text}` stands twice"));
    }
}

/// Checks the length and the characters of a name.
fn check_name(findings: &mut Findings, place: &str, text: &str) {
    let has_valid_chars = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if !has_valid_chars || !NAME_CHARS.contains(&text.chars().count()) {
        findings.add(place, "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
}

/// Checks that a value is within the allowed range, whose unit is `unit`.
fn check_range<T: PartialOrd + std::fmt::Display>(
    findings: &mut Findings,
    place: &str,
    value: T,
    allowed: &RangeInclusive<T>,
    unit: &str,
) {
    if allowed.contains(&value) {
        return;
    }
    let (lowest, highest) = (allowed.start(), allowed.end());
    findings.add(place, format!("{value} is not between {lowest} and {highest} {unit}"));
}
