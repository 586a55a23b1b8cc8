//! `chestnutrack-soak`: runs with random faults, one a seed.

use argh::FromArgs;
use chestnutrack_soak::run::{self, Report, Settings};
use std::process::ExitCode;
use std::time::Duration;

/// Plays random faults on a fleet of separate processes and checks the promises meanwhile.
#[derive(FromArgs)]
struct Arguments {
    /// first seed; drawn anew where none is given
    #[argh(option)]
    seed: Option<u64>,
    /// number of seeds, one after the other
    #[argh(option, default = "1")]
    seeds: u64,
    /// time in which faults come, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// entry hosts
    #[argh(option, default = "3")]
    hosts: u8,
    /// print the faults of each run
    #[argh(switch)]
    verbose: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let first = arguments.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut sound = true;
    for seed in first..first + arguments.seeds {
        let length = Duration::from_secs(arguments.seconds);
        let settings = Settings { seed, length, hosts: arguments.hosts };
        match run::execute(settings).await {
            Ok(report) => {
                sound &= report.findings.is_empty();
                print(seed, &report, arguments.verbose);
            }
            Err(error) => {
                sound = false;
                say(&format!("seed {seed}: the run could not go on: {error}"));
            }
        }
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print(seed: u64, report: &Report, verbose: bool) {
    let counts: Vec<String> =
        report.counts.iter().map(|(what, count)| format!("{what} {count}")).collect();
    let (faults, findings) = (report.faults.len(), report.findings.len());
    say(&format!("seed {seed}: {faults} faults, {findings} findings; {}", counts.join(", ")));
    if verbose || findings > 0 {
        report.faults.iter().for_each(|fault| say(&format!("  {fault}")));
    }
    report.findings.iter().for_each(|finding| say(&format!("  BROKEN {finding}")));
}

#[expect(clippy::print_stdout, reason = "the report is this program's output")]
fn say(line: &str) {
    println!("{line}");
}
