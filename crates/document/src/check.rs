//! Checks a document as a whole and collects every finding with its place.

use crate::finding::Findings;
use crate::key::Hash;
use crate::model::{Document, Kind, Organisation, Pool, Role, Route, Server};
use std::collections::HashSet;
use std::ops::RangeInclusive;

/// Largest document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1 << 20;
/// Length allowed for a name, in characters.
const NAME_CHARS: RangeInclusive<usize> = 1..=64;
/// Length allowed for the salt, in characters.
const SALT_CHARS: RangeInclusive<usize> = 16..=128;
/// Deadlines allowed, in milliseconds: up to a day.
const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;
/// Rates and bursts allowed, in tokens.
const TOKENS: RangeInclusive<u64> = 1..=1_000_000_000_000;
/// Slots allowed on one server.
const SLOTS: RangeInclusive<u32> = 1..=65_536;
/// Body sizes allowed, in bytes.
const BODY_BYTES: RangeInclusive<usize> = 1..=1 << 26;
/// Token counts allowed for one prompt or answer.
const REQUEST_TOKENS: RangeInclusive<u32> = 1..=1 << 20;
/// Latency targets allowed, in milliseconds.
const TARGET_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Objectives allowed, in requests of a thousand.
const OBJECTIVE_PER_MILLE: RangeInclusive<u32> = 1..=999;

/// Reads and checks a document.
///
/// # Errors
///
/// All findings together, or the place of the first syntax error.
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

/// Checks a document that has been read.
pub fn check(document: &Document) -> Findings {
    let mut findings = Findings::default();
    let out = &mut findings;
    name(out, "service", &document.service);
    let salt_chars = document.key_salt.chars().count();
    range(out, "key_salt", salt_chars, &SALT_CHARS, "characters");
    check_targets(out, document);
    check_bounds(out, document);
    check_organisations(out, &document.organisations);
    check_pools(out, &document.pools);
    check_routes(out, document);
    findings
}

fn check_targets(out: &mut Findings, document: &Document) {
    let targets = &document.targets;
    range(out, "targets.first_token_ms", targets.first_token_ms, &TARGET_MS, "ms");
    range(out, "targets.between_tokens_ms", targets.between_tokens_ms, &TARGET_MS, "ms");
    let place = "targets.objective_per_mille";
    range(out, place, targets.objective_per_mille, &OBJECTIVE_PER_MILLE, "per mille");
}

fn check_bounds(out: &mut Findings, document: &Document) {
    let bounds = &document.bounds;
    range(out, "bounds.body_bytes", bounds.body_bytes, &BODY_BYTES, "bytes");
    range(out, "bounds.prompt_tokens", bounds.prompt_tokens, &REQUEST_TOKENS, "tokens");
    range(out, "bounds.output_tokens", bounds.output_tokens, &REQUEST_TOKENS, "tokens");
    let counts = 1..=1_000_000;
    let place = "bounds.waiting_per_organisation";
    range(out, place, bounds.waiting_per_organisation, &counts, "requests");
    range(out, "bounds.connections", bounds.connections, &counts, "connections");
}

fn check_organisations(out: &mut Findings, organisations: &[Organisation]) {
    let mut names = HashSet::new();
    let mut key_ids = HashSet::new();
    let mut hashes = HashSet::new();
    for (index, organisation) in organisations.iter().enumerate() {
        let place = format!("organisations[{index}]");
        unique_name(out, &format!("{place}.name"), &organisation.name, &mut names);
        let rate = organisation.rate_tokens_per_s;
        range(out, &format!("{place}.rate_tokens_per_s"), rate, &TOKENS, "tokens a second");
        let burst = organisation.burst_tokens;
        range(out, &format!("{place}.burst_tokens"), burst, &TOKENS, "tokens");
        for (index, key) in organisation.keys.iter().enumerate() {
            let place = format!("{place}.keys[{index}]");
            unique_name(out, &format!("{place}.id"), &key.id, &mut key_ids);
            let Some(hash) = Hash::from_hex(&key.hash) else {
                out.add(format!("{place}.hash"), "not 64 hexadecimal digits");
                continue;
            };
            if !hashes.insert(hash) {
                out.add(format!("{place}.hash"), "the same key stands twice in the document");
            }
        }
    }
}

fn check_pools(out: &mut Findings, pools: &[Pool]) {
    let mut names = HashSet::new();
    let mut servers = HashSet::new();
    let mut sides = HashSet::new();
    for (index, pool) in pools.iter().enumerate() {
        let place = format!("pools[{index}]");
        unique_name(out, &format!("{place}.name"), &pool.name, &mut names);
        for (index, server) in pool.servers.iter().enumerate() {
            let place = format!("{place}.servers[{index}]");
            unique_name(out, &format!("{place}.name"), &server.name, &mut servers);
            if !sides.insert(server.side) {
                out.add(format!("{place}.side"), "another server has the same address");
            }
            check_server(out, &place, pool.kind, server);
        }
        check_roles(out, &place, pool);
    }
}

fn check_server(out: &mut Findings, place: &str, kind: Kind, server: &Server) {
    name(out, &format!("{place}.host"), &server.host);
    name(out, &format!("{place}.failure_domain"), &server.failure_domain);
    range(out, &format!("{place}.slots"), server.slots, &SLOTS, "requests");
    let plain = server.role == Role::Plain;
    if plain != (kind == Kind::Plain) {
        out.add(format!("{place}.role"), "does not fit the pool's kind");
    }
    if plain {
        return;
    }
    range(out, &format!("{place}.kv_tokens"), server.kv_tokens, &TOKENS, "tokens");
    let rate = server.link_bytes_per_s;
    range(out, &format!("{place}.link_bytes_per_s"), rate, &TOKENS, "bytes a second");
}

fn check_roles(out: &mut Findings, place: &str, pool: &Pool) {
    let place = format!("{place}.servers");
    if pool.servers.is_empty() {
        out.add(place, "a pool needs at least one server");
        return;
    }
    if pool.kind == Kind::Plain {
        return;
    }
    for (role, text) in [(Role::Prefill, "prefill"), (Role::Decode, "decode")] {
        if !pool.servers.iter().any(|server| server.role == role) {
            out.add(place.clone(), format!("a model pool needs at least one {text} server"));
        }
    }
}

fn check_routes(out: &mut Findings, document: &Document) {
    let mut names = HashSet::new();
    let mut paths = HashSet::new();
    for (index, route) in document.routes.iter().enumerate() {
        let place = format!("routes[{index}]");
        unique_name(out, &format!("{place}.name"), &route.name, &mut names);
        check_path(out, &place, route);
        let target = (route.method.clone(), route.path.clone(), route.model.clone());
        if !paths.insert(target) {
            out.add(format!("{place}.path"), "another route has the same method, path and model");
        }
        range(out, &format!("{place}.deadline_ms"), route.deadline_ms, &DEADLINE_MS, "ms");
        range(out, &format!("{place}.cost_tokens"), route.cost_tokens, &TOKENS, "tokens");
        check_route_pool(out, &place, document, route);
        check_route_flags(out, &place, route);
    }
}

fn check_path(out: &mut Findings, place: &str, route: &Route) {
    let path = &route.path;
    let star_inside = path.strip_suffix("/*").unwrap_or(path).contains('*');
    if !path.starts_with('/') || star_inside || path.contains(['?', '#', ' ']) {
        out.add(
            format!("{place}.path"),
            "must start with '/' and hold no query; '*' only as its last segment",
        );
    }
    let method_fits = route.method.chars().all(|c| c.is_ascii_uppercase());
    if route.method.is_empty() || !method_fits {
        out.add(format!("{place}.method"), "must be an HTTP method in upper case");
    }
}

fn check_route_pool(out: &mut Findings, place: &str, document: &Document, route: &Route) {
    let Some(pool) = document.pools.iter().find(|pool| pool.name == route.pool) else {
        out.add(format!("{place}.pool"), format!("no pool is named `{}`", route.pool));
        return;
    };
    if (pool.kind == Kind::Model) != route.api.is_model() {
        out.add(format!("{place}.api"), format!("does not fit pool `{}`", pool.name));
    }
}

fn check_route_flags(out: &mut Findings, place: &str, route: &Route) {
    if route.once && route.idempotent {
        out.add(format!("{place}.idempotent"), "a route that must land once can't be idempotent");
    }
    if route.once && route.open {
        out.add(format!("{place}.open"), "a route that must land once can't be open to all");
    }
    if route.api.is_model() && route.model.is_none() {
        out.add(format!("{place}.model"), "a model route needs a model name");
    }
    if route.api.is_model() && route.method.as_ref() != "POST" {
        out.add(format!("{place}.method"), "a model route is called by POST");
    }
}

fn unique_name(out: &mut Findings, place: &str, text: &str, seen: &mut HashSet<String>) {
    name(out, place, text);
    if !seen.insert(text.to_owned()) {
        out.add(place, format!("`{text}` stands twice"));
    }
}

fn name(out: &mut Findings, place: &str, text: &str) {
    let fits = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if !fits || !NAME_CHARS.contains(&text.chars().count()) {
        out.add(place, "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
}

fn range<T: PartialOrd + std::fmt::Display>(
    out: &mut Findings,
    place: &str,
    value: T,
    allowed: &RangeInclusive<T>,
    unit: &str,
) {
    if allowed.contains(&value) {
        return;
    }
    let (low, high) = (allowed.start(), allowed.end());
    out.add(place, format!("{value} is not between {low} and {high} {unit}"));
}
