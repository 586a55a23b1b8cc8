//! Settings of a scripted run.

use std::time::Duration;

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any open server, at random.
    Random,
    /// By what is known of load, prefixes and links.
    Informed,
}

/// The decisions that a run compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How servers are chosen.
    pub choice: Choice,
    /// Whether the decode slot is reserved before the prefill starts.
    pub reserve_first: bool,
    /// Whether waiting is fair between organisations, rather than first come, first served.
    pub fair: bool,
}

impl Policy {
    /// What ships.
    pub const SHIPPED: Policy =
        Policy { choice: Choice::Informed, reserve_first: true, fair: true };
    /// The plainest: random choice, no reservation, first come, first served.
    pub const PLAINEST: Policy =
        Policy { choice: Choice::Random, reserve_first: false, fair: false };
}

/// Settings of a scripted run.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of every random draw.
    pub seed: u64,
    /// The decisions.
    pub policy: Policy,
    /// Entry hosts.
    pub entry_hosts: usize,
    /// Prefill servers.
    pub prefill_servers: usize,
    /// Decode servers.
    pub decode_servers: usize,
    /// Requests that a decode server runs at once.
    pub slots: u32,
    /// Servers of each role that an entry host talks to.
    pub subset: usize,
    /// Organisations; the first sends `excess_factor` times its rate.
    pub organisations: usize,
    /// How many times its rate the first organisation sends.
    pub excess_factor: f64,
    /// In-rate load, as a part of the ceiling.
    pub offered: f64,
    /// How long requests arrive.
    pub arrival_period: Duration,
    /// Time after the first arrival from which requests are measured.
    pub warm_up: Duration,
    /// One-way delay between hosts.
    pub network_delay: Duration,
    /// Mean prompt, in tokens.
    pub prompt_tokens: f64,
    /// Mean answer, in tokens.
    pub output_tokens: f64,
    /// Deadline for a request's first token.
    pub deadline: Duration,
    /// Longest wait for a slot at one decode server; `None` for what ships.
    pub reserve_wait: Option<Duration>,
    /// Target for the time to the first token.
    pub first_token_target: Duration,
    /// Target for the time between tokens.
    pub between_tokens_target: Duration,
    /// When a decode server dies, and when its host is back; `None` for a run without a loss.
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
    /// The same load on one entry host without delays, which knows every server's state: what the
    /// engines can serve when every decision is made in one place.
    pub fn central(&self) -> Settings {
        Settings { entry_hosts: 1, network_delay: Duration::ZERO, ..self.clone() }
    }
}
