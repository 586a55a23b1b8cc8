//! `chestnutrack-standin engine`.

use super::{Common, Flags};
use argh::FromArgs;
use chestnutrack_process::settings::Findings;
use chestnutrack_standin::engine::{self, Settings};
use std::process::ExitCode;
use std::str::FromStr;

/// Stands in for a model engine of any role.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: Option<String>,
    /// requests generated for at a time
    #[argh(option)]
    slots: Option<String>,
    /// memory for KV caches, in tokens
    #[argh(option)]
    kv_tokens: Option<String>,
    /// memory for the prefix cache beside it, in tokens
    #[argh(option)]
    cache_tokens: Option<String>,
    /// time of a step with an empty batch, in µs
    #[argh(option)]
    step_us: Option<String>,
    /// time that each request in the batch adds to a step, in µs
    #[argh(option)]
    step_per_request_us: Option<String>,
    /// prompt tokens computed a second
    #[argh(option)]
    prefill_tokens_per_s: Option<String>,
    /// size of the KV cache of one token, in bytes
    #[argh(option)]
    kv_bytes_per_token: Option<String>,
    /// rate of the link for exports, and of that for imports, in bytes a second
    #[argh(option)]
    link_bytes_per_s: Option<String>,
    /// time after a prefill until its KV cache is evicted, in ms
    #[argh(option)]
    evict_ms: Option<String>,
    /// age of load reports, in ms
    #[argh(option)]
    load_lag_ms: Option<String>,
    /// time until a cache event shows, in ms
    #[argh(option)]
    events_lag_ms: Option<String>,
    /// cache events that are lost, in percent
    #[argh(option)]
    events_lost_percent: Option<String>,
    /// time to load a model from the weight store, in ms
    #[argh(option)]
    load_model_ms: Option<String>,
    /// whether orders with an old fencing number are refused: true or false
    #[argh(option)]
    checks_fencing: Option<String>,
    /// real time for each unit of the model's time
    #[argh(option)]
    time_scale: Option<String>,
    /// seed of the losses
    #[argh(option)]
    seed: Option<String>,
    /// form of the log: text or json
    #[argh(option)]
    log: Option<String>,
}

/// Runs the subcommand.
pub(crate) async fn run(arguments: &Arguments) -> ExitCode {
    super::run(settings(arguments), engine::serve).await
}

fn settings(given: &Arguments) -> Result<(Common, Settings), Findings> {
    let mut flags = Flags::new();
    let common = flags.common(&given.listen, &given.log);
    let default = Settings::default();
    let tokens = "a number of tokens";
    let percent = "a whole number from 0 to 100";
    let truth = "`true` or `false`";
    let scale = "a number from 0.001 to 1000";
    let step_per_request = default.step_per_request;
    let rate = default.prefill_tokens_per_s;
    let kv_bytes = default.kv_bytes_per_token;
    let lost = Percent(default.events_lost_percent);
    let settings = Settings {
        slots: flags.count("--slots", &given.slots, default.slots),
        kv_tokens: flags.count("--kv-tokens", &given.kv_tokens, default.kv_tokens),
        cache_tokens: flags.or("--cache-tokens", &given.cache_tokens, tokens, default.cache_tokens),
        step_base: flags.micros("--step-us", &given.step_us, default.step_base),
        step_per_request: flags.micros(
            "--step-per-request-us",
            &given.step_per_request_us,
            step_per_request,
        ),
        prefill_tokens_per_s: flags.count(
            "--prefill-tokens-per-s",
            &given.prefill_tokens_per_s,
            rate,
        ),
        kv_bytes_per_token: flags.bytes(
            "--kv-bytes-per-token",
            &given.kv_bytes_per_token,
            kv_bytes,
        ),
        link_bytes_per_s: flags.bytes(
            "--link-bytes-per-s",
            &given.link_bytes_per_s,
            default.link_bytes_per_s,
        ),
        evict_after: flags.millis("--evict-ms", &given.evict_ms, default.evict_after),
        load_lag: flags.millis("--load-lag-ms", &given.load_lag_ms, default.load_lag),
        events_lag: flags.millis("--events-lag-ms", &given.events_lag_ms, default.events_lag),
        events_lost_percent: flags
            .or("--events-lost-percent", &given.events_lost_percent, percent, lost)
            .0,
        model_load_time: flags.millis(
            "--load-model-ms",
            &given.load_model_ms,
            default.model_load_time,
        ),
        checks_fencing: flags.or(
            "--checks-fencing",
            &given.checks_fencing,
            truth,
            default.checks_fencing,
        ),
        time_scale: flags.or("--time-scale", &given.time_scale, scale, Scale(default.time_scale)).0,
        seed: flags.or("--seed", &given.seed, "a whole number", default.seed),
    };
    flags.finish((common, settings))
}

struct Percent(u32);

impl FromStr for Percent {
    type Err = ();

    fn from_str(text: &str) -> Result<Percent, ()> {
        text.parse().ok().filter(|percent| *percent <= 100).map(Percent).ok_or(())
    }
}

struct Scale(f64);

impl FromStr for Scale {
    type Err = ();

    fn from_str(text: &str) -> Result<Scale, ()> {
        let known = |scale: &f64| (0.001..=1_000.0).contains(scale);
        text.parse().ok().filter(known).map(Scale).ok_or(())
    }
}
