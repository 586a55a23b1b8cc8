//! Resource usage of a process, read from `/proc`.

use crate::process::Process;
use std::path::PathBuf;

/// Resources used by a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its current threads, in nanoseconds.
    pub processor_ns: u64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

/// Returns the resource usage of a process; zeros if it has ended.
pub fn read(process: &Process) -> Usage {
    let Some(id) = process.id() else { return Usage::default() };
    let folder = PathBuf::from(format!("/proc/{id}"));
    Usage { processor_ns: processor_ns(&folder), memory_bytes: memory_bytes(&folder) }
}

fn processor_ns(folder: &std::path::Path) -> u64 {
    let Ok(tasks) = std::fs::read_dir(folder.join("task")) else { return 0 };
    let task_processor_ns = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    tasks.flatten().filter_map(task_processor_ns).sum()
}

fn memory_bytes(folder: &std::path::Path) -> u64 {
    let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}
