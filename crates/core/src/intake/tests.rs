//! Each test names the crowd of callers against which a rule guards.

use super::*;
use std::net::Ipv4Addr;

/// Bounds of a small listener.
const SETTINGS: Settings = Settings { connections: 40, request_bytes: 1 << 20 };
/// Connections of a crowd.
const CROWD: usize = 400;

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, last).into()
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

/// Opens a connection from the balancer's address, through which all callers come.
fn open(table: &mut Table, now: Instant) -> (Key, Option<Key>) {
    let (key, evictions) = table.open(now, address(1));
    (key, close(table, &evictions))
}

/// Closes the connection that gives way, as a listener does.
fn close(table: &mut Table, evictions: &[Eviction]) -> Option<Key> {
    assert!(evictions.len() <= 1, "{evictions:?}");
    let key = evictions.first()?.key;
    table.close(key);
    Some(key)
}

/// Opens a connection on which a request was served.
fn open_served(table: &mut Table, now: Instant) -> Key {
    let (key, _) = open(table, now);
    table.set_phase(now, key, Phase::Running);
    table.record_served(key);
    table.set_phase(now, key, Phase::Idle);
    key
}

#[test]
fn a_crowd_of_half_read_heads_gives_way_to_new_callers_and_not_to_idle_connections() {
    let mut table = Table::new(SETTINGS);
    let ordinary: Vec<Key> = (0..10).map(|_| open_served(&mut table, at(0))).collect();

    for n in 0..CROWD as u64 {
        let (key, evicted) = open(&mut table, at(n * 10));
        table.set_phase(at(n * 10), key, Phase::Head);
        assert!(evicted.is_none_or(|evicted| !ordinary.contains(&evicted)));
        assert!(table.len() <= SETTINGS.connections);
    }

    let (new, evicted) = open(&mut table, at(5_000));
    assert!(evicted.is_some_and(|evicted| evicted != new && !ordinary.contains(&evicted)));
}

#[test]
fn a_burst_of_silent_connections_leaves_a_new_caller_the_time_of_half_the_bound() {
    let mut table = Table::new(SETTINGS);
    let idle: Vec<Key> = (0..30).map(|_| open_served(&mut table, at(0))).collect();
    for _ in 0..CROWD {
        open(&mut table, at(1));
    }

    let (new, _) = open(&mut table, at(2));
    let evicted: Vec<Key> = (0..15).filter_map(|_| open(&mut table, at(3)).1).collect();

    assert!(!evicted.contains(&new), "{evicted:?}");
    let kept = idle.iter().filter(|key| table.connections.contains_key(**key)).count();
    assert!(kept >= 20, "{kept}");
}

#[test]
fn a_crowd_of_idle_connections_gives_way_to_a_new_caller_longest_idle_first() {
    let mut table = Table::new(SETTINGS);
    let idle: Vec<Key> = (0..40).map(|n| open_served(&mut table, at(n))).collect();

    let (new, evicted) = open(&mut table, at(100));

    assert_eq!(evicted, Some(idle[0]));
    assert!(table.connections.contains_key(new));
}

#[test]
fn connections_of_a_crowd_from_one_address_give_way_before_older_ones_from_others() {
    let mut table = Table::new(SETTINGS);
    let (other, _) = table.open(at(0), address(2));
    table.set_phase(at(0), other, Phase::Head);
    for n in 0..CROWD as u64 {
        let (key, evicted) = open(&mut table, at(100 + n));
        table.set_phase(at(100 + n), key, Phase::Head);
        assert_ne!(evicted, Some(other));
    }
    assert!(table.connections.contains_key(other));
}

#[test]
fn readers_that_take_nothing_give_way_before_streams_that_are_read() {
    let mut table = Table::new(SETTINGS);
    let streams: Vec<Key> = (0..10).map(|_| open_served(&mut table, at(0))).collect();
    for key in &streams {
        table.set_phase(at(0), *key, Phase::Running);
    }
    for _ in 0..30 {
        let (key, _) = open(&mut table, at(0));
        table.set_phase(at(0), key, Phase::Blocked);
    }
    let slow = streams[0];
    table.set_phase(at(0), slow, Phase::Blocked);

    for n in 1..=30 {
        table.record_taken(at(n * 500), slow);
        let (_, evicted) = open(&mut table, at(n * 500));
        assert!(evicted.is_none_or(|evicted| !streams.contains(&evicted)), "{n}");
    }
}

#[test]
fn a_reader_that_takes_nothing_is_disconnected_also_without_a_crowd() {
    let mut table = Table::new(SETTINGS);
    let (key, _) = open(&mut table, at(0));
    table.set_phase(at(0), key, Phase::Blocked);
    let timeout = READER_TIMEOUT.as_millis() as u64;

    assert_eq!(table.sweep(at(timeout - 1)), []);
    let swept = table.sweep(at(timeout));

    assert_eq!(swept.len(), 1);
    assert_eq!((swept[0].key, swept[0].reason), (key, Reason::SlowReader));
}

/// Begins a body on a new connection and receives its first part.
fn begin_body(table: &mut Table, now: Instant, bytes: usize) -> (Key, bool, Vec<Eviction>) {
    let (key, _) = open(table, now);
    table.set_phase(now, key, Phase::Body);
    let (is_held, evictions) = table.hold(now, key, bytes, bytes);
    (key, is_held, evictions)
}

#[test]
fn bodies_that_stop_short_of_their_end_give_up_their_memory_first() {
    let mut table = Table::new(SETTINGS);
    let (short, _, _) = begin_body(&mut table, at(0), 300 << 10);
    let (moving, _, _) = begin_body(&mut table, at(0), 400 << 10);
    for n in 1..=4 {
        assert!(table.hold(at(n * 500), moving, 1 << 10, 0).0);
    }

    let (_, is_held, evictions) = begin_body(&mut table, at(2_000), 200 << 10);

    assert!(is_held);
    let [eviction] = evictions[..] else { panic!("{evictions:?}") };
    let expected = (short, Reason::Memory, true);
    assert_eq!((eviction.key, eviction.reason, eviction.refuse), expected);
}

#[test]
fn a_crowd_of_large_bodies_leaves_room_for_small_ones() {
    let mut table = Table::new(SETTINGS);
    for _ in 0..CROWD {
        begin_body(&mut table, at(0), 150 << 10);
        assert!(table.held() <= SETTINGS.request_bytes);
    }

    for _ in 0..4 {
        let (_, is_held, evictions) = begin_body(&mut table, at(1), 60 << 10);
        assert!(is_held && evictions.is_empty(), "{evictions:?}");
    }
}

#[test]
fn a_crowd_of_growing_bodies_gives_way_to_a_smaller_one_and_stays_within_the_memory() {
    let mut table = Table::new(Settings { connections: CROWD, ..SETTINGS });
    let crowd: Vec<Key> = (0..CROWD / 2).map(|_| begin_body(&mut table, at(0), 1).0).collect();
    for _ in 0..16 {
        for key in &crowd {
            table.hold(at(100), *key, 16 << 10, 16 << 10);
            assert!(table.held() <= SETTINGS.request_bytes);
        }
    }

    let (_, is_held, _) = begin_body(&mut table, at(200), 2 << 10);

    assert!(is_held);
}

#[test]
fn a_burst_on_a_large_listener_costs_a_search_for_many_connections() {
    let mut table = Table::new(Settings { connections: 640, ..SETTINGS });
    let (mut searches, mut evicted) = (0, 0);
    for n in 0..4_000 {
        let (_, evictions) = table.open(at(n / 8), address(1));
        searches += usize::from(!evictions.is_empty());
        evicted += evictions.len();
        for eviction in evictions {
            table.close(eviction.key);
        }
    }
    assert!(table.len() <= 640 && evicted >= 3_360);
    assert!(searches <= 340, "{searches}");
}

#[test]
fn bodies_of_running_requests_are_not_given_up() {
    let mut table = Table::new(SETTINGS);
    let (running, _, _) = begin_body(&mut table, at(0), 700 << 10);
    table.set_phase(at(0), running, Phase::Running);

    let (_, is_held, evictions) = begin_body(&mut table, at(10_000), 700 << 10);

    assert!(!is_held && evictions.is_empty());
}

#[test]
fn slow_bodies_are_given_up_only_while_connections_or_memory_are_tight() {
    let mut table = Table::new(SETTINGS);
    let (slow, _, _) = begin_body(&mut table, at(0), 100);
    assert_eq!(table.sweep(at(60_000)), []);

    for _ in 0..SETTINGS.connections - 1 {
        let (key, _) = open(&mut table, at(60_000));
        table.set_phase(at(60_000), key, Phase::Running);
    }

    let swept = table.sweep(at(60_000));
    assert_eq!(swept.iter().map(|eviction| eviction.key).collect::<Vec<_>>(), [slow]);
    assert_eq!(table.hold(at(60_001), slow, 100, 100), (false, Vec::new()));
}

#[test]
fn a_new_connection_is_closed_itself_only_while_requests_run_on_all_others() {
    let mut table = Table::new(SETTINGS);
    for _ in 0..SETTINGS.connections {
        let (key, _) = open(&mut table, at(0));
        table.set_phase(at(0), key, Phase::Running);
    }

    let (new, evicted) = open(&mut table, at(1));

    assert_eq!(evicted, Some(new));
}

#[test]
fn everything_held_is_released_when_the_crowd_has_left() {
    let mut table = Table::new(SETTINGS);
    let mut keys: Vec<Key> = Vec::new();
    for n in 0..CROWD as u64 {
        let (key, _, evictions) = begin_body(&mut table, at(n), 50 << 10);
        keys.push(key);
        for eviction in evictions {
            table.release(eviction.key, 50 << 10);
        }
    }
    for key in keys {
        table.release(key, 50 << 10);
        table.close(key);
    }
    assert_eq!((table.held(), table.len(), table.remaining), (0, 0, 0));
    assert!(table.addresses.is_empty());
}
