//! Settings of a scripted run.

use std::time::Duration;

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any available server, at random.
    Random,
    /// By the known load, cached prefixes and links, as in production.
    Informed,
}

/// Placement and queueing policy of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How servers are chosen.
    pub choice: Choice,
    /// Whether the decode slot is reserved before the prefill starts.
    pub reserve_first: bool,
    /// Whether the queue is fair between organisations rather than first come, first served.
    pub fair: bool,
}

impl Policy {
    /// The production policy.
    pub const SHIPPED: Policy =
        Policy { choice: Choice::Informed, reserve_first: true, fair: true };
    /// The baseline: random choice, no reservation, first come, first served.
    pub const PLAINEST: Policy =
        Policy { choice: Choice::Random, reserve_first: false, fair: false };
}

/// Settings of a scripted run.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of every random draw.
    pub seed: u64,
    /// Placement and queueing policy.
    pub policy: Policy,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Number of prefill servers.
    pub prefill_servers: usize,
    /// Number of decode servers.
    pub decode_servers: usize,
    /// Requests that a server runs at once.
    pub slots: u32,
    /// Number of servers of each role (prefill, decode) that an entry host connects to. The default
    /// exceeds the number of servers, so that each entry host connects to all.
    pub subset: usize,
    /// Number of organisations; the first sends `excess_factor` times its rate.
    pub organisations: usize,
    /// Rate at which the first organisation sends, as a multiple of its allowed rate.
    pub excess_factor: f64,
    /// Sum of the organisations' allowed rates, as a fraction of the capacity of the engines.
    pub offered: f64,
    /// Time during which requests arrive.
    pub arrival_period: Duration,
    /// Time at the start of the run whose arrivals are not measured.
    pub warm_up: Duration,
    /// One-way network delay between hosts.
    pub network_delay: Duration,
    /// Mean length of a prompt, in tokens.
    pub prompt_tokens: f64,
    /// Mean length of an output, in tokens.
    pub output_tokens: f64,
    /// Time from a request's arrival to its deadline.
    pub deadline: Duration,
    /// Longest time that a reservation waits for a slot at one decode server; `None` for the
    /// production rule, which depends on the request's admission target and deadline.
    pub reserve_wait: Option<Duration>,
    /// Target for the time to first token.
    pub first_token_target: Duration,
    /// Target for the time between tokens.
    pub between_tokens_target: Duration,
    /// Times at which the first decode server fails and recovers; `None` for no failure.
    pub outage: Option<(Duration, Duration)>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seed: 1,
            policy: Policy::SHIPPED,
            entry_hosts: 3,
            prefill_servers: 3,
            decode_servers: 5,
            slots: 20,
            subset: 48,
            organisations: 5,
            excess_factor: 5.0,
            offered: 0.9,
            arrival_period: Duration::from_secs(60),
            warm_up: Duration::from_secs(10),
            network_delay: Duration::from_millis(1),
            prompt_tokens: 400.0,
            output_tokens: 120.0,
            deadline: Duration::from_secs(5),
            reserve_wait: None,
            first_token_target: Duration::from_millis(630),
            between_tokens_target: Duration::from_millis(40),
            outage: None,
        }
    }
}

impl Settings {
    /// Returns settings with the same load on a single entry host without network delay. It knows
    /// the state of every server, so its goodput is the reference for distributed decisions.
    pub fn central(&self) -> Settings {
        Settings { entry_hosts: 1, network_delay: Duration::ZERO, ..self.clone() }
    }
}
