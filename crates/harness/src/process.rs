//! A child process of a fleet: starts it, sends signals, reads its log and exit status.

use crate::error::Error;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};

/// Length of the log excerpt in errors, in bytes.
const LOG_END_BYTES: usize = 2_000;

/// A running process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    /// Name of the process within the fleet.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program and appends its standard output and error to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] with the I/O error.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: Vec<String>,
        log: PathBuf,
    ) -> Result<Process, Error> {
        let child = spawn(program, &arguments, &log)
            .map_err(|error| Error::Start(name.to_owned(), error))?;
        Ok(Process { name: name.to_owned(), program: program.to_owned(), arguments, log, child })
    }

    /// Starts the program again with the same arguments, after the process has ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] with the I/O error.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.child = spawn(&self.program, &self.arguments, &self.log)
            .map_err(|error| Error::Start(self.name.clone(), error))?;
        Ok(())
    }

    /// Pauses the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the process has ended.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the process has ended.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful shutdown (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the process has ended.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends SIGHUP, on which the process reads its settings again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the process has ended.
    pub fn hang_up(&self) -> Result<(), Error> {
        self.signal(Signal::SIGHUP)
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits until the process ends and returns its exit code.
    ///
    /// Returns `None` if the process is still running after `limit` or was ended by a signal.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let ended = tokio::time::timeout(limit, self.child.wait()).await.ok()?;
        ended.ok()?.code()
    }

    /// Returns the exit status as text, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns the process ID, or `None` once the end of the process has been observed.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the end of the log.
    pub fn log_end(&self) -> String {
        let text = self.log();
        let mut start = text.len().saturating_sub(LOG_END_BYTES);
        while !text.is_char_boundary(start) {
            start += 1;
        }
        text[start..].to_owned()
    }

    /// Returns the whole log.
    pub fn log(&self) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let failed = |text: String| Error::Signal(self.name.clone(), text);
        let id = self.child.id().ok_or_else(|| failed("the process has ended".to_owned()))?;
        let id = i32::try_from(id).map_err(|error| failed(error.to_string()))?;
        kill(Pid::from_raw(id), signal).map_err(|error| failed(error.to_string()))
    }
}

fn spawn(program: &Path, arguments: &[String], log: &Path) -> std::io::Result<Child> {
    let file = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(file.try_clone()?)
        .stderr(file)
        .kill_on_drop(true)
        .spawn()
}
