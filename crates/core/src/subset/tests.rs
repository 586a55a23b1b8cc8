use super::choose_servers;
use quickcheck::quickcheck;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (0..count).map(|number| format!("{prefix}-{number}").into()).collect()
}

/// Returns the number of windows that contain each server.
fn cover(members: &[Arc<str>], servers: &[Arc<str>], size: usize) -> HashMap<Arc<str>, usize> {
    let mut cover: HashMap<_, _> = servers.iter().map(|server| (server.clone(), 0)).collect();
    for member in members {
        for server in choose_servers(member, members, servers, size) {
            *cover.get_mut(&server).unwrap() += 1;
        }
    }
    cover
}

quickcheck! {
    fn windows_per_server_differ_by_at_most_one(
        members: u8, servers: u8, size: u8
    ) -> bool {
        let members = names("entry", usize::from(members) + 1);
        let servers = names("server", usize::from(servers) + 1);
        let size = usize::from(size) % servers.len() + 1;
        let cover = cover(&members, &servers, size);
        let (fewest, most) = (cover.values().min().unwrap(), cover.values().max().unwrap());
        most - fewest <= 1
    }

    fn a_window_holds_size_distinct_servers(members: u8, servers: u8, size: u8) -> bool {
        let members = names("entry", usize::from(members) + 1);
        let servers = names("server", usize::from(servers) + 1);
        let size = usize::from(size) % servers.len() + 1;
        let chosen = choose_servers("entry-0", &members, &servers, size);
        chosen.len() == size && chosen.iter().collect::<HashSet<_>>().len() == size
    }
}

#[test]
fn all_servers_of_a_small_pool_are_chosen() {
    let servers = names("server", 12);

    assert_eq!(choose_servers("entry-0", &names("entry", 3), &servers, 48), servers);
}

#[test]
fn a_lost_member_shifts_windows_by_a_few_servers() {
    let members = names("entry", 780);
    let servers = names("server", 7_700);
    let remaining_members: Vec<_> = members[1..].to_vec();

    for own in remaining_members.iter().step_by(40) {
        let servers_before: HashSet<_> =
            choose_servers(own, &members, &servers, 48).into_iter().collect();
        let servers_after: HashSet<_> =
            choose_servers(own, &remaining_members, &servers, 48).into_iter().collect();
        assert!(servers_before.difference(&servers_after).count() <= 11);
    }
}
