//! Signals that reach an entry host while it starts.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use chestnutrack_harness::fleet::programs;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::Write;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// More than a pipe holds: it has all been written once the reader is at work.
const PADDING_BYTES: usize = 1 << 20;
/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: i32 = 2;
/// Starts of the series.
const STARTS: u32 = 20;
/// Time in which a host gets ready for signals, or ends.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an entry host that writes no output.
fn start(command: &mut Command) -> Child {
    command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap()
}

fn program() -> Command {
    Command::new(programs().unwrap().join("chestnutrack-entry"))
}

fn send(child: &Child, signal: Signal) {
    kill(Pid::from_raw(child.id().try_into().unwrap()), signal).unwrap();
}

/// Returns the end of a process. Kills it if it does not end.
fn wait(mut child: Child) -> Option<ExitStatus> {
    let started_at = Instant::now();
    while started_at.elapsed() < TIMEOUT {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.kill().unwrap();
    child.wait().unwrap();
    None
}

/// Returns `true` if SIGTERM no longer ends a process: it is held back or has a handler.
fn withstands_sigterm(child: &Child) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
    let masks = status
        .lines()
        .filter_map(|line| line.strip_prefix("SigBlk:").or_else(|| line.strip_prefix("SigCgt:")));
    let mut masks = masks.map(|mask| u64::from_str_radix(mask.trim(), 16).unwrap());
    masks.any(|mask| (mask >> (Signal::SIGTERM as u32 - 1)) & 1 == 1)
}

// Guards against a host that a signal ends because it arrives while the settings are read.
#[test]
fn a_signal_does_not_end_a_host_that_is_reading_its_settings() {
    for signal in [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP] {
        let mut command = program();
        command.env("CHESTNUTRACK_NODE_FILE", "/dev/stdin").stdin(Stdio::piped());
        let mut child = start(&mut command);
        let mut settings = child.stdin.take().unwrap();
        settings.write_all(&[b' '; PADDING_BYTES]).unwrap();

        send(&child, signal);
        std::thread::sleep(Duration::from_millis(50));
        drop(settings);
        let status = wait(child);

        // The settings are empty, which the host finds once it has read them.
        let code = status.and_then(|status| status.code());
        assert_eq!(code, Some(EXIT_INVALID_SETTINGS), "{signal}: {status:?}");
    }
}

// Guards against a SIGTERM that is lost, or ends the host, between the start of the program and its handler.
#[test]
fn a_host_that_is_told_to_stop_as_soon_as_its_program_runs_ends_with_code_0() {
    for number in 0..STARTS {
        let mut command = program();
        command.args(["--direct", "--name", "early", "--failure-domain", "domain"]);
        for address in ["--listen", "--peer-listen", "--admin"] {
            command.args([address, "127.0.0.1:0"]);
        }
        let child = start(command.args(["--platform", "127.0.0.1:9", "--drain-ms", "100"]));
        let started_at = Instant::now();
        while !withstands_sigterm(&child) {
            assert!(started_at.elapsed() < TIMEOUT, "start {number}: no handler");
        }

        send(&child, Signal::SIGTERM);
        let status = wait(child);

        let code = status.and_then(|status| status.code());
        assert_eq!(code, Some(0), "start {number}: {status:?}");
    }
}
