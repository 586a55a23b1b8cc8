//! `chestnutrack-soak`: one run with random faults for each seed.

use argh::FromArgs;
use chestnutrack_soak::run::{self, Report, Settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Injects random faults into a fleet of separate processes and checks its guarantees.
#[derive(FromArgs)]
struct Arguments {
    /// first seed; random if none is given
    #[argh(option)]
    seed: Option<u64>,
    /// number of consecutive seeds to run
    #[argh(option, default = "1")]
    seeds: u64,
    /// time during which faults are injected, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// number of entry hosts
    #[argh(option, default = "3")]
    hosts: u8,
    /// folder for the logs of runs with findings
    #[argh(option)]
    logs: Option<PathBuf>,
    /// print the faults of each run
    #[argh(switch)]
    verbose: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let first = arguments.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut passed = true;
    for seed in first..first + arguments.seeds {
        let length = Duration::from_secs(arguments.seconds);
        let settings = Settings { seed, length, hosts: arguments.hosts };
        match run::execute(settings).await {
            Ok(report) => {
                passed &= report.findings.is_empty();
                print(seed, &report, arguments.verbose);
                if let Some(folder) = &arguments.logs
                    && let Err(error) = write_logs(&folder.join(format!("seed-{seed}")), &report)
                {
                    passed = false;
                    say(&format!("seed {seed}: the logs could not be written: {error}"));
                }
            }
            Err(error) => {
                passed = false;
                say(&format!("seed {seed}: the run could not continue: {error}"));
            }
        }
    }
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Writes the logs of a run with findings.
fn write_logs(folder: &Path, report: &Report) -> std::io::Result<()> {
    if !report.logs.is_empty() {
        std::fs::create_dir_all(folder)?;
    }
    report
        .logs
        .iter()
        .try_for_each(|(name, log)| std::fs::write(folder.join(format!("{name}.log")), log))
}

fn print(seed: u64, report: &Report, verbose: bool) {
    let counts: Vec<String> =
        report.counts.iter().map(|(outcome, count)| format!("{outcome} {count}")).collect();
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
