//! Stand-ins and consumers for the cases of the review: `standin CASE FOLDER`. Starts entry hosts as separate
//! processes, plays one case on loopback, writes `record.txt` into the folder and exits with 0 if the rule held, 1 if it
//! was broken and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod fleet;
mod http;
mod json;
mod replica;
mod store;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static NOTES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the case.
pub fn at_ms(at: Instant) -> f64 {
    at.saturating_duration_since(*START.get_or_init(Instant::now)).as_secs_f64() * 1e3
}

/// Adds a line to the record.
pub fn note(text: &str) {
    let line = format!("{:10.1} {text}", at_ms(Instant::now()));
    NOTES.lock().unwrap().push(line);
}

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    START.get_or_init(Instant::now);
    let mut words = std::env::args().skip(1);
    let (case, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let temporary: PathBuf =
        std::env::var_os("CASE_TMP").map_or_else(std::env::temp_dir, PathBuf::from);
    let result = cases::play(&case, !trouble, &temporary);
    // All processes have ended, so their identifiers are void.
    let _ = fs::remove_file(temporary.join("pids"));
    let (code, line) = match result {
        Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Err(text) => (2, format!("NOT RUN: {text}")),
    };
    println!("{line}");
    let mut record = NOTES.lock().unwrap().join("\n");
    record.push_str(&format!("\n{line}\n"));
    if fs::write(Path::new(&folder).join("record.txt"), record).is_err() {
        eprintln!("record.txt can't be written");
    }
    std::process::exit(code);
}
