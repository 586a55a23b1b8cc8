//! `chestnutrack-standin engine`: settings of the simulated model engine.

use super::{CommonSettings, Flags};
use argh::FromArgs;
use chestnutrack_process::settings::Findings;
use chestnutrack_standin::engine::{self, Settings};
use std::process::ExitCode;
use std::str::FromStr;

/// Simulates a model engine of any role.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: Option<String>,
    /// maximum number of requests in the decode batch
    #[argh(option)]
    slots: Option<String>,
    /// memory for KV caches, in tokens
    #[argh(option)]
    kv_tokens: Option<String>,
    /// memory for the prefix cache, in addition to the KV caches, in tokens
    #[argh(option)]
    cache_tokens: Option<String>,
    /// base time of a decode step, in µs
    #[argh(option)]
    step_us: Option<String>,
    /// time that each request in the batch adds to a decode step, in µs
    #[argh(option)]
    step_per_request_us: Option<String>,
    /// prompt tokens computed per second
    #[argh(option)]
    prefill_tokens_per_s: Option<String>,
    /// size of the KV cache of one token, in bytes
    #[argh(option)]
    kv_bytes_per_token: Option<String>,
    /// bandwidth of the export link and of the import link, in bytes per second
    #[argh(option)]
    link_bytes_per_s: Option<String>,
    /// time from the end of a prefill until its KV cache is evicted, in ms
    #[argh(option)]
    evict_ms: Option<String>,
    /// age of load reports, in ms
    #[argh(option)]
    load_lag_ms: Option<String>,
    /// delay until a cache event is reported, in ms
    #[argh(option)]
    events_lag_ms: Option<String>,
    /// share of cache events that are lost, in percent
    #[argh(option)]
    events_lost_percent: Option<String>,
    /// time to load a model from the weight store, in ms
    #[argh(option)]
    load_model_ms: Option<String>,
    /// whether orders with an outdated fencing number are refused: true or false
    #[argh(option)]
    checks_fencing: Option<String>,
    /// real time per unit of simulated time
    #[argh(option)]
    time_scale: Option<String>,
    /// random seed for the lost cache events
    #[argh(option)]
    seed: Option<String>,
    /// format of the log: text or json
    #[argh(option)]
    log: Option<String>,
}

/// Runs the subcommand.
pub(crate) async fn run(arguments: &Arguments) -> ExitCode {
    super::run(settings(arguments), engine::serve).await
}

/// Reads the settings from the flags and their environment variables.
fn settings(arguments: &Arguments) -> Result<(CommonSettings, Settings), Findings> {
    let mut flags = Flags::new();
    let common = flags.common(&arguments.listen, &arguments.log);
    let defaults = Settings::default();
    let tokens_allowed = "a number of tokens";
    let percent_allowed = "a whole number from 0 to 100";
    let boolean_allowed = "`true` or `false`";
    let time_scale_allowed = "a number from 0.001 to 1000";
    let step_per_request = defaults.step_per_request;
    let prefill_rate = defaults.prefill_tokens_per_s;
    let kv_bytes = defaults.kv_bytes_per_token;
    let lost_percent = Percent(defaults.events_lost_percent);
    let settings = Settings {
        slots: flags.count("--slots", &arguments.slots, defaults.slots),
        kv_tokens: flags.count("--kv-tokens", &arguments.kv_tokens, defaults.kv_tokens),
        cache_tokens: flags.or_default(
            "--cache-tokens",
            &arguments.cache_tokens,
            tokens_allowed,
            defaults.cache_tokens,
        ),
        step_base: flags.micros("--step-us", &arguments.step_us, defaults.step_base),
        step_per_request: flags.micros(
            "--step-per-request-us",
            &arguments.step_per_request_us,
            step_per_request,
        ),
        prefill_tokens_per_s: flags.count(
            "--prefill-tokens-per-s",
            &arguments.prefill_tokens_per_s,
            prefill_rate,
        ),
        kv_bytes_per_token: flags.bytes(
            "--kv-bytes-per-token",
            &arguments.kv_bytes_per_token,
            kv_bytes,
        ),
        link_bytes_per_s: flags.bytes(
            "--link-bytes-per-s",
            &arguments.link_bytes_per_s,
            defaults.link_bytes_per_s,
        ),
        evict_after: flags.millis("--evict-ms", &arguments.evict_ms, defaults.evict_after),
        load_lag: flags.millis("--load-lag-ms", &arguments.load_lag_ms, defaults.load_lag),
        events_lag: flags.millis("--events-lag-ms", &arguments.events_lag_ms, defaults.events_lag),
        events_lost_percent: flags
            .or_default(
                "--events-lost-percent",
                &arguments.events_lost_percent,
                percent_allowed,
                lost_percent,
            )
            .0,
        model_load_time: flags.millis(
            "--load-model-ms",
            &arguments.load_model_ms,
            defaults.model_load_time,
        ),
        checks_fencing: flags.or_default(
            "--checks-fencing",
            &arguments.checks_fencing,
            boolean_allowed,
            defaults.checks_fencing,
        ),
        time_scale: flags
            .or_default(
                "--time-scale",
                &arguments.time_scale,
                time_scale_allowed,
                TimeScale(defaults.time_scale),
            )
            .0,
        seed: flags.or_default("--seed", &arguments.seed, "a whole number", defaults.seed),
    };
    flags.finish((common, settings))
}

/// Whole number from 0 to 100.
struct Percent(u32);

impl FromStr for Percent {
    type Err = ();

    fn from_str(text: &str) -> Result<Percent, ()> {
        text.parse().ok().filter(|percent| *percent <= 100).map(Percent).ok_or(())
    }
}

/// Number from 0.001 to 1000.
struct TimeScale(f64);

impl FromStr for TimeScale {
    type Err = ();

    fn from_str(text: &str) -> Result<TimeScale, ()> {
        let is_allowed = |scale: &f64| (0.001..=1_000.0).contains(scale);
        text.parse().ok().filter(is_allowed).map(TimeScale).ok_or(())
    }
}
