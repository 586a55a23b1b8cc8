use super::prefix::{PIECE_BYTES, pieces};
use super::table::FAILURE_BACKOFF;
use super::{Key, Load, PrefixIndex, Query, Server, Table, choose_decode, choose_prefill};
use crate::prefix::Prefix;
use crate::time::Instant;
use chestnutrack_document::model::Role;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: Instant = Instant::from_millis(100_000);

fn server(name: &str, role: Role) -> Server {
    Server {
        slots: 4,
        kv_tokens: 10_000,
        connected: true,
        reported_at: NOW,
        ..Server::new(name.into(), "model".into(), role, "domain-1".into())
    }
}

fn query() -> Query {
    Query { pool: "model".into(), kv_tokens: 100, prompt_tokens: 4_096, ..Query::default() }
}

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

fn name_of(table: &Table, key: Option<Key>) -> Option<String> {
    key.map(|key| table[key].name.to_string())
}

quickcheck! {
    fn full_leaving_and_unreachable_servers_are_never_chosen(
        servers: Vec<(u8, bool, bool, bool)>, seed: u64
    ) -> bool {
        let mut table = Table::with_key();
        for (index, (used, leaving, draining, connected)) in servers.iter().enumerate() {
            let load = Load { used: u32::from(*used % 12), ..Load::default() };
            let (leaving, draining, connected) = (*leaving, *draining, *connected);
            let base = server(&format!("s{index}"), Role::Decode);
            table.insert(Server { load, leaving, draining, connected, ..base });
        }
        let can_take = |server: &Server| server.is_available() && server.load.used < server.slots + 1;
        match choose_decode(&table, &query(), NOW, &mut rng(seed)) {
            Some(key) => can_take(&table[key]),
            None => !table.values().any(can_take),
        }
    }

    fn an_avoided_server_is_the_last_choice(count: u8, seed: u64) -> bool {
        let mut table = Table::with_key();
        let count = usize::from(count % 6) + 1;
        for index in 0..count {
            table.insert(server(&format!("s{index}"), Role::Decode));
        }
        let avoided = vec!["s0".into()];
        let chosen = choose_decode(&table, &Query { avoided, ..query() }, NOW, &mut rng(seed));
        (name_of(&table, chosen).as_deref() == Some("s0")) == (count == 1) && chosen.is_some()
    }

    fn the_prefix_index_stays_bounded(records: Vec<(u8, u64)>) -> bool {
        let mut table = Table::with_key();
        let key = table.insert(server("p", Role::Prefill));
        let mut prefixes = PrefixIndex::default();
        for (second, piece) in &records {
            let now = NOW + std::time::Duration::from_secs(u64::from(*second));
            prefixes.record(key, &[Prefix { hash: *piece, tokens: 1_024 }], now, now);
        }
        prefixes.len() <= records.len()
    }
}

#[test]
fn the_least_loaded_candidate_is_chosen() {
    let mut table = Table::with_key();
    let busy = Load { used: 3, ..Load::default() };
    table.insert(Server { load: busy, ..server("busy", Role::Decode) });
    table.insert(server("idle", Role::Decode));

    let chosen = choose_decode(&table, &query(), NOW, &mut rng(1));

    assert_eq!(name_of(&table, chosen).as_deref(), Some("idle"));
}

#[test]
fn a_server_in_the_same_failure_domain_is_preferred_only_at_equal_load() {
    let mut table = Table::with_key();
    let busy = Load { used: 3, ..Load::default() };
    let remote = Server { failure_domain: "domain-2".into(), ..server("remote", Role::Decode) };
    table.insert(remote);
    let local = table.insert(server("local", Role::Decode));
    let query = Query { preferred_domain: "domain-1".into(), ..query() };

    let equal = choose_decode(&table, &query, NOW, &mut rng(1));
    table[local].load = busy;
    let differing = choose_decode(&table, &query, NOW, &mut rng(1));

    assert_eq!(name_of(&table, equal).as_deref(), Some("local"));
    assert_eq!(name_of(&table, differing).as_deref(), Some("remote"));
}

#[test]
fn requests_sent_since_a_report_count() {
    let mut table = Table::with_key();
    let key = table.insert(server("only", Role::Decode));
    for _ in 0..5 {
        table[key].record_sent(100);
    }

    let chosen = choose_decode(&table, &query(), NOW, &mut rng(1));

    assert_eq!(chosen, None);
}

#[test]
fn a_prompt_goes_to_the_server_that_holds_its_prefix() {
    let mut table = Table::with_key();
    for index in 0..16 {
        table.insert(server(&format!("p{index}"), Role::Prefill));
    }
    let holder = table.keys().nth(9).unwrap();
    let mut prefixes = PrefixIndex::default();
    let pieces = pieces(&"x".repeat(4 * PIECE_BYTES));
    prefixes.record(holder, &pieces, NOW, NOW);

    let chosen = choose_prefill(&table, &prefixes, &Query { pieces, ..query() }, NOW, &mut rng(3));

    assert_eq!(chosen, Some(holder));
}

#[test]
fn a_long_queue_outweighs_a_prefix() {
    let mut table = Table::with_key();
    table.insert(server("idle", Role::Prefill));
    let holder = table.insert(server("holder", Role::Prefill));
    table[holder].load.queued_tokens = 50_000;
    let mut prefixes = PrefixIndex::default();
    let pieces = pieces(&"x".repeat(4 * PIECE_BYTES));
    prefixes.record(holder, &pieces, NOW, NOW);

    let chosen = choose_prefill(&table, &prefixes, &Query { pieces, ..query() }, NOW, &mut rng(3));

    assert_eq!(name_of(&table, chosen).as_deref(), Some("idle"));
}

#[test]
fn a_prefix_expires() {
    let mut table = Table::with_key();
    let key = table.insert(server("p", Role::Prefill));
    let mut prefixes = PrefixIndex::default();
    let prompt = [Prefix { hash: 1, tokens: 1_024 }, Prefix { hash: 2, tokens: 2_048 }];
    prefixes.record(key, &prompt, NOW, NOW);

    let held_tokens = prefixes.holders(&prompt, NOW).get(&key).copied();
    let later_holders = prefixes.holders(&prompt, NOW + std::time::Duration::from_secs(60));

    assert_eq!(held_tokens, Some(2_048));
    assert_eq!(later_holders.get(&key).copied().unwrap_or(0), 0);
}

#[test]
fn a_failing_server_is_skipped_and_then_probed_by_one_request() {
    let mut table = Table::with_key();
    let key = table.insert(server("failing", Role::Decode));
    let choose = |table: &Table, now| choose_decode(table, &query(), now, &mut rng(1));

    table[key].record_failure(NOW);
    let after_one = choose(&table, NOW);
    table[key].record_failure(NOW);
    let after_two = choose(&table, NOW);
    let later = NOW + FAILURE_BACKOFF.0;
    let probe = choose(&table, later);
    table[key].record_sent(1);
    let second = choose(&table, later);
    table[key].record_success();
    let answered = choose(&table, later);

    assert_eq!((after_one, after_two, probe), (Some(key), None, Some(key)));
    assert_eq!((second, answered), (None, Some(key)));
}
