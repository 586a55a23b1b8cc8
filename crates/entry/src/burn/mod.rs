//! Counts request outcomes for the report on service-level burn (how fast failures use up the error
//! budget) and writes them to this host's object
//! in the object interface, the platform's store.

use chestnutrack_burn::ledger::{Read, Step, Write};
use chestnutrack_burn::{KIND, Key, Ledger, Outcome, object_name};
use chestnutrack_process::clock;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::Client;
use chestnutrack_store::error::Error;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between checks whether a read or write is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Outcome counts of this host.
pub struct Burn {
    ledger: Mutex<Ledger>,
    /// Name of the object that holds the counts.
    object: String,
}

impl Burn {
    /// Creates empty counts for a host that starts now.
    pub fn new(service: Arc<str>, host: &str, incarnation: u64) -> Burn {
        let object = object_name(&service, host);
        Burn { ledger: Mutex::new(Ledger::new(service, incarnation, clock::now())), object }
    }

    /// Locks the counts.
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the outcome of a request.
    pub fn record(&self, key: Key, outcome: Outcome) {
        self.ledger().record(clock::now(), key, outcome);
    }

    /// Reads and writes the object whenever that is due, until the timer stops.
    pub async fn run_writer(self: Arc<Burn>, client: Client, timer: Timer) {
        let mut ticks = timer.subscribe(CHECK_INTERVAL);
        while let Some(tick) = ticks.recv().await {
            let step = self.ledger().next_step(tick.now);
            match step {
                Step::Idle => {}
                Step::Read => self.read(&client).await,
                Step::Write(write) => self.write(&client, write).await,
            }
        }
    }

    /// Writes counts that are not written yet; called before the process ends.
    pub async fn flush(&self, client: &Client) {
        let write = self.ledger().flush(clock::now());
        if let Some(write) = write {
            self.write(client, write).await;
        }
    }

    /// Reads the counts that the object holds. A failed read is repeated when the next one is due.
    async fn read(&self, client: &Client) {
        let read = match client.read(KIND, &self.object).await {
            Ok(object) => object.value.map(|value| Read {
                version: object.version,
                age: Duration::from_millis(object.age_ms),
                value,
            }),
            Err(Error::Missing) => None,
            Err(_) => return,
        };
        self.ledger().apply_read(clock::now(), read);
    }

    /// Writes counts to the object. If the write fails, it is unknown whether it took effect; the
    /// ledger then reads the object before it writes again.
    async fn write(&self, client: &Client, write: Write) {
        let written = client.replace(KIND, &self.object, write.version, &write.value).await;
        match written {
            Ok(version) => self.ledger().confirm_write(version),
            Err(_) => self.ledger().mark_write_lost(clock::now()),
        }
    }
}
