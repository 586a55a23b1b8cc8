//! Counts for the report on service-level burn, kept in an object of this host.

use chestnutrack_burn::ledger::{Read, Step, Write};
use chestnutrack_burn::{KIND, Key, Ledger, Outcome, object_name};
use chestnutrack_process::clock;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::Client;
use chestnutrack_store::error::Error;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between looks at whether a write is due.
const TICK: Duration = Duration::from_secs(1);

/// What this host counts.
pub struct Burn {
    ledger: Mutex<Ledger>,
    object: String,
}

impl Burn {
    /// Counts of a host that starts now.
    pub fn new(service: Arc<str>, host: &str, incarnation: u64) -> Burn {
        let object = object_name(&service, host);
        Burn { ledger: Mutex::new(Ledger::new(service, incarnation, clock::now())), object }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that ended.
    pub fn record(&self, key: Key, outcome: Outcome) {
        self.ledger().record(clock::now(), key, outcome);
    }

    /// Writes the counts whenever it is time, for as long as the process lives.
    pub async fn keep(self: Arc<Burn>, client: Client, timer: Timer) {
        let mut ticks = timer.subscribe(TICK);
        while let Some(tick) = ticks.recv().await {
            let step = self.ledger().tick(tick.now);
            match step {
                Step::Idle => {}
                Step::Read => self.read(&client).await,
                Step::Write(write) => self.write(&client, write).await,
            }
        }
    }

    /// Writes what is left, before the process ends.
    pub async fn flush(&self, client: &Client) {
        let write = self.ledger().flush(clock::now());
        if let Some(write) = write {
            self.write(client, write).await;
        }
    }

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

    async fn write(&self, client: &Client, write: Write) {
        let written = client.replace(KIND, &self.object, write.version, &write.value).await;
        match written {
            Ok(version) => self.ledger().confirm_write(version),
            Err(_) => self.ledger().mark_write_lost(clock::now()),
        }
    }
}
