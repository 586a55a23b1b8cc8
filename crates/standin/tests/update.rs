//! Conditional writes of several writers under random faults: none is lost, none is doubled, and
//! what each writer was told is true.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::platform;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::error::Error;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::control;

/// Writers at a time.
const WRITERS: usize = 3;
/// Writes that each tries.
const WRITES: usize = 6;

/// Faults that are set, one after the other, while the writers write.
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
        let size = u8::arbitrary(g) % 30;
        match u8::arbitrary(g) % 6 {
            0 | 1 => Fault::LoseAnswers(size % 4 + 1),
            2 => Fault::Delay(size),
            3 => Fault::Stale(size),
            4 => Fault::Down,
            _ => Fault::None,
        }
    }
}

impl Fault {
    async fn set(self, address: SocketAddr) {
        let none = json!({ "down": false, "delay_ms": 0, "stale_ms": 0 });
        let faults = match self {
            Fault::LoseAnswers(writes) => json!({ "lose_answers": writes }),
            Fault::Delay(millis) => json!({ "delay_ms": millis }),
            Fault::Stale(millis) => json!({ "stale_ms": millis }),
            Fault::Down => json!({ "down": true }),
            Fault::None => none.clone(),
        };
        control(address, "faults", faults).await;
        tokio::time::sleep(Duration::from_millis(8)).await;
        control(address, "faults", none).await;
    }
}

/// What a writer was told of the write with its mark.
struct Told {
    mark: String,
    outcome: Result<u64, Error>,
}

fn client(address: SocketAddr) -> Client {
    let limit = Duration::from_millis(25);
    let pause = Duration::from_millis(3);
    let settings = Settings {
        read_timeout: limit,
        write_timeout: limit,
        update_pause: pause,
        ..Settings::default()
    };
    Client::new(address, settings, None)
}

async fn marks(client: &Client) -> Result<(u64, Vec<String>), Error> {
    match client.read("claims", "a").await {
        Ok(object) => Ok((object.version, serde_json::from_value(object.value.unwrap()).unwrap())),
        Err(Error::Missing) => Ok((0, Vec::new())),
        Err(error) => Err(error),
    }
}

/// Adds marks to the list in the object, as well as the faults let it.
async fn write(writer: usize, address: SocketAddr) -> Vec<Told> {
    let client = client(address);
    let mut told = Vec::new();
    for number in 0..WRITES {
        let Ok((version, mut list)) = marks(&client).await else { continue };
        let mark = format!("{writer}.{number}");
        list.push(mark.clone());
        let outcome = client.update("claims", "a", version, &json!(list)).await;
        told.push(Told { mark, outcome });
    }
    told
}

async fn run(faults: Vec<Fault>) -> TestResult {
    let address = support::platform(platform::Settings {
        writes_per_s: 100_000,
        reads_per_s: 100_000,
        ..platform::Settings::default()
    })
    .await;
    let writers = (0..WRITERS).map(|writer| tokio::spawn(write(writer, address)));
    let writers: Vec<_> = writers.collect();
    for fault in faults {
        fault.set(address).await;
    }
    let mut told = Vec::new();
    for writer in writers {
        told.extend(writer.await.unwrap());
    }
    // Calls that were given up may still be under way.
    tokio::time::sleep(Duration::from_millis(60)).await;
    let patient = Client::new(address, Settings::default(), None);
    let (_, list) = marks(&patient).await.unwrap();
    for Told { mark, outcome } in told {
        let found = list.iter().filter(|found| **found == mark).count();
        let right = match outcome {
            Ok(_) => found == 1,
            Err(Error::Unknown(_)) => found <= 1,
            Err(_) => found == 0,
        };
        if !right {
            return TestResult::error(format!(
                "{mark}: {outcome:?}, found {found} times in {list:?}"
            ));
        }
    }
    TestResult::passed()
}

#[test]
fn no_update_is_lost_or_doubled() {
    fn property(faults: Vec<Fault>) -> TestResult {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(run(faults.into_iter().take(20).collect()))
    }
    QuickCheck::new().tests(15).quickcheck(property as fn(Vec<Fault>) -> TestResult);
}
