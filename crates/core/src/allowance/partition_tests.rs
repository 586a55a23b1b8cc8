//! A fleet of five hosts, one organisation that sends 7.5 times its rate, and a partition that answers with resets: what
//! both sides spend together, and what is refused after it.

use super::{Allowances, Report, Settings};
use crate::limit::Quota;
use crate::roster::{self, Roster};
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

const HOSTS: usize = 5;
/// Rate and burst of the organisation, in tokens per second and tokens.
const RATE: u64 = 40_000;
const BURST: u64 = 20_000;
/// Cost of one request, and requests that each host receives in a step: 7.5 times the rate.
const REQUEST_TOKENS: u64 = 500;
const REQUESTS_PER_STEP: usize = 3;
const STEP_MS: u64 = 25;
/// Time between a host's reports of spending, and between its heartbeats.
const REPORT_MS: u64 = 125;
const HEARTBEAT_MS: u64 = 500;
const WINDOW_MS: u64 = 8_000;
/// Cut, and its end.
const CUT_MS: (u64, u64) = (6_000, 14_000);
const SETTINGS: Settings = Settings {
    overdraw: false,
    window: Duration::from_millis(WINDOW_MS),
    accrual_time: Duration::from_secs(1),
    unreachable_after: Some(roster::UNREACHABLE_AFTER),
};

struct Host {
    name: Arc<str>,
    roster: Roster,
    allowances: Allowances,
}

/// What happens in a run.
#[derive(Clone, Copy)]
struct Scenario {
    /// Number of hosts on the first side of the partition.
    first_side: usize,
    /// Whether messages of the first side still reach the second.
    is_one_way: bool,
    /// Whether the store confirms the hosts' entries.
    is_confirmed: bool,
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn name(host: usize) -> Arc<str> {
    format!("host-{host}").into()
}

fn host(index: usize) -> Host {
    let mut roster = Roster::new(name(index), roster::Settings::default());
    (0..HOSTS)
        .filter(|other| *other != index)
        .for_each(|other| roster.add_peer(at(0), &name(other)));
    let mut allowances = Allowances::new(at(0), true, SETTINGS);
    allowances.configure(at(0), &[Quota { name: "orchard".into(), rate: RATE, burst: BURST }]);
    Host { name: name(index), roster, allowances }
}

impl Host {
    /// Does what a host does at each heartbeat.
    fn check_peers(&mut self, now: Instant, is_confirmed: bool) {
        self.roster.check_timeouts(now);
        if is_confirmed && self.roster.is_isolated(now) {
            self.roster.record_confirmation(now);
        }
        let unreachable: Vec<Arc<str>> = self.roster.unreachable_peers().cloned().collect();
        unreachable.iter().for_each(|peer| self.allowances.mark_unreachable(now, peer));
        self.allowances.set_spend_until(self.roster.may_spend_until());
    }

    fn report(&self, millis: u64) -> (roster::Report, Report) {
        let unreachable_hosts = self.roster.unreachable_durations(at(millis));
        let report = roster::Report { unreachable_hosts, ..roster::Report::default() };
        let (age, spent) = (Duration::from_millis(millis), self.allowances.spent().clone());
        (report, Report { incarnation: 1, age, spent })
    }
}

/// Plays a scenario for 30 s, and returns the admitted requests' times in milliseconds.
fn play(scenario: Scenario) -> Vec<u64> {
    let mut hosts: Vec<Host> = (0..HOSTS).map(host).collect();
    let organisation: Arc<str> = "orchard".into();
    let mut admitted = Vec::new();
    for millis in (0..30_000).step_by(STEP_MS as usize) {
        let (now, is_cut) = (at(millis), (CUT_MS.0..CUT_MS.1).contains(&millis));
        let side = |host: usize| host < scenario.first_side;
        let delivers = |from: usize, to: usize| {
            !is_cut || side(from) == side(to) || scenario.is_one_way && side(from)
        };
        if millis % REPORT_MS == 0 {
            let reports: Vec<_> = hosts.iter().map(|host| host.report(millis)).collect();
            for (from, to) in (0..HOSTS).flat_map(|from| (0..HOSTS).map(move |to| (from, to))) {
                let peer = hosts[from].name.clone();
                if from != to && delivers(from, to) {
                    let (report, spending) = reports[from].clone();
                    hosts[to].roster.record_report(now, &peer, report);
                    hosts[to].allowances.record_report(now, &peer, spending);
                } else if from != to {
                    hosts[to].roster.record_connection_refused(&peer);
                }
            }
        }
        if millis % HEARTBEAT_MS == 0 {
            hosts.iter_mut().for_each(|host| host.check_peers(now, scenario.is_confirmed));
        }
        for host in &mut hosts {
            for _ in 0..REQUESTS_PER_STEP {
                if host.allowances.debit(now, &organisation, REQUEST_TOKENS).is_ok() {
                    admitted.push(millis);
                }
            }
        }
    }
    admitted
}

/// Returns the tokens that were admitted from one time to another, in milliseconds.
fn tokens(admitted: &[u64], from: u64, to: u64) -> u64 {
    let count = admitted.iter().filter(|millis| (from..to).contains(millis)).count();
    count as u64 * REQUEST_TOKENS
}

fn scenarios() -> impl Iterator<Item = Scenario> {
    (1..HOSTS).flat_map(|first_side| {
        [(false, false), (false, true), (true, false), (true, true)]
            .map(|(is_one_way, is_confirmed)| Scenario { first_side, is_one_way, is_confirmed })
    })
}

// Guards against review/5: each side of a cut that answers with resets spends the whole allowance.
#[test]
fn all_sides_of_a_partition_with_resets_spend_the_allowance_once() {
    // The overshoot that the platform allows, and a slack of a second of the rate: until hosts count as
    // unreachable, 1.5 s pass in which both sides spend.
    let bound = (RATE * WINDOW_MS / 1_000 + BURST) * 11 / 10 + RATE;

    for scenario in scenarios() {
        let admitted = play(scenario);

        let windows = (0..22_000).step_by(100);
        let most = windows.map(|from| tokens(&admitted, from, from + WINDOW_MS)).max().unwrap();
        let Scenario { first_side, is_one_way, is_confirmed } = scenario;
        assert!(most <= bound, "{first_side} {is_one_way} {is_confirmed}: {most} > {bound}");
    }
}

// Guards against spending that is debited twice after a partition: requests within the rate were refused for as long as the
// cut had lasted.
#[test]
fn the_rate_is_available_again_soon_after_a_partition() {
    for scenario in scenarios() {
        let admitted = play(scenario);

        let after = tokens(&admitted, CUT_MS.1 + 500, CUT_MS.1 + 500 + WINDOW_MS);
        let expected = RATE * WINDOW_MS / 1_000 * 9 / 10;
        let Scenario { first_side, is_one_way, is_confirmed } = scenario;
        assert!(after >= expected, "{first_side} {is_one_way} {is_confirmed}: {after}");
    }
}
