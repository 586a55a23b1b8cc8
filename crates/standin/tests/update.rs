//! Conditional writes of several concurrent writers under random faults: no write is lost or
//! applied twice, and the outcome that each writer gets is correct.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::platform;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::error::Error;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::post_control;

/// Number of concurrent writers.
const WRITER_COUNT: usize = 3;
/// Number of writes that each writer attempts.
const WRITES_PER_WRITER: usize = 6;

/// A fault that is injected for a short time while the writers write.
#[derive(Clone, Copy, Debug)]
enum Fault {
    LoseAnswers(u8),
    Delay(u8),
    Stale(u8),
    Down,
    None,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let amount = u8::arbitrary(g) % 30;
        match u8::arbitrary(g) % 6 {
            0 | 1 => Fault::LoseAnswers(amount % 4 + 1),
            2 => Fault::Delay(amount),
            3 => Fault::Stale(amount),
            4 => Fault::Down,
            _ => Fault::None,
        }
    }
}

impl Fault {
    /// Injects the fault for 8 ms. Lost answers that no write used up by then stay injected.
    async fn set(self, address: SocketAddr) {
        let none = json!({ "down": false, "delay_ms": 0, "stale_ms": 0 });
        let faults = match self {
            Fault::LoseAnswers(writes) => json!({ "lose_answers": writes }),
            Fault::Delay(millis) => json!({ "delay_ms": millis }),
            Fault::Stale(millis) => json!({ "stale_ms": millis }),
            Fault::Down => json!({ "down": true }),
            Fault::None => none.clone(),
        };
        post_control(address, "faults", faults).await;
        tokio::time::sleep(Duration::from_millis(8)).await;
        post_control(address, "faults", none).await;
    }
}

/// Outcome that a writer got for the write that adds an entry.
struct WriteResult {
    entry: String,
    outcome: Result<u64, Error>,
}

/// Returns a client whose short timeouts make slow calls fail.
fn client(address: SocketAddr) -> Client {
    let timeout = Duration::from_millis(25);
    let pause = Duration::from_millis(3);
    let settings = Settings {
        read_timeout: timeout,
        write_timeout: timeout,
        read_back_pause: pause,
        ..Settings::default()
    };
    Client::new(address, settings, None)
}

/// Returns the object's version, 0 if it doesn't exist, and its entries.
async fn read_entries(client: &Client) -> Result<(u64, Vec<String>), Error> {
    match client.read("claims", "a").await {
        Ok(object) => Ok((object.version, serde_json::from_value(object.value.unwrap()).unwrap())),
        Err(Error::Missing) => Ok((0, Vec::new())),
        Err(error) => Err(error),
    }
}

/// Adds entries to the list in the object; skips an entry if the list can't be read.
async fn write(writer: usize, address: SocketAddr) -> Vec<WriteResult> {
    let client = client(address);
    let mut results = Vec::new();
    for number in 0..WRITES_PER_WRITER {
        let Ok((version, mut list)) = read_entries(&client).await else { continue };
        let entry = format!("{writer}.{number}");
        list.push(entry.clone());
        let outcome = client.replace_confirmed("claims", "a", version, &json!(list)).await;
        results.push(WriteResult { entry, outcome });
    }
    results
}

/// Lets the writers write while the faults are injected one after the other, and checks for each
/// write that the final list agrees with the outcome that its writer got: an entry of a successful
/// write stands in it once, one of an unknown write at most once, one of a failed write not at all.
async fn run(faults: Vec<Fault>) -> TestResult {
    let address = support::platform(platform::Settings {
        writes_per_s: 100_000,
        reads_per_s: 100_000,
        ..platform::Settings::default()
    })
    .await;
    let writers = (0..WRITER_COUNT).map(|writer| tokio::spawn(write(writer, address)));
    let writers: Vec<_> = writers.collect();
    for fault in faults {
        fault.set(address).await;
    }
    let mut results = Vec::new();
    for writer in writers {
        results.extend(writer.await.unwrap());
    }
    // Calls that timed out may still be in flight.
    tokio::time::sleep(Duration::from_millis(60)).await;
    let reader = Client::new(address, Settings::default(), None);
    let (_, list) = read_entries(&reader).await.unwrap();
    for WriteResult { entry, outcome } in results {
        let count = list.iter().filter(|found| **found == entry).count();
        let is_correct = match outcome {
            Ok(_) => count == 1,
            Err(Error::Unknown(_)) => count <= 1,
            Err(_) => count == 0,
        };
        if !is_correct {
            return TestResult::error(format!(
                "{entry}: {outcome:?}, found {count} times in {list:?}"
            ));
        }
    }
    TestResult::passed()
}

#[test]
fn no_update_is_lost_or_applied_twice() {
    fn property(faults: Vec<Fault>) -> TestResult {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(run(faults.into_iter().take(20).collect()))
    }
    QuickCheck::new().tests(15).quickcheck(property as fn(Vec<Fault>) -> TestResult);
}
