//! Authority over the backend server: the object `sides/NAME`, claimed once at the start by a
//! conditional write, and read again after this process was stopped.

use chestnutrack_core::server::Authority;
use chestnutrack_platform::client::Client;
use chestnutrack_platform::error::Error;
use chestnutrack_wire::connection::{self, Security};
use chestnutrack_wire::frame::{Sender, VERSION};
use chestnutrack_wire::{Connection, Frame};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Kind of the objects that say who is in charge.
const KIND: &str = "sides";
/// Time after which a call to the object interface that failed is made again.
const RETRY: Duration = Duration::from_millis(200);
/// Longest time that the process before this one is asked to step down.
const STEP_DOWN: Duration = Duration::from_secs(2);

/// Who is in charge of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Fencing number of the process's orders.
    pub epoch: u64,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Address for entry hosts.
    pub address: SocketAddr,
}

/// What the process needs for its claim.
#[derive(Clone)]
pub struct Claimant {
    /// The object interface.
    pub client: Client,
    /// Name of the server.
    pub name: Arc<str>,
    /// Random number drawn when this process started.
    pub incarnation: u64,
    /// Address for entry hosts.
    pub address: SocketAddr,
    /// Identity and trust between processes.
    pub security: Option<Security>,
}

impl Claimant {
    /// Claims the server, however long that takes, and has the process before step down.
    pub async fn claim(self) -> Authority {
        loop {
            match self.try_claim().await {
                Ok((claim, previous)) => {
                    if let Some(previous) = previous {
                        self.relieve(&previous).await;
                    }
                    return Authority::Held(claim.epoch);
                }
                Err(error) => {
                    tracing::debug!(%error, "authority not claimed yet");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    async fn try_claim(&self) -> Result<(Claim, Option<Claim>), Error> {
        let (version, previous) = match self.client.read(KIND, &self.name).await {
            Ok(object) => (object.version, object.value.and_then(parse)),
            Err(Error::Missing) => (0, None),
            Err(error) => return Err(error),
        };
        if let Some(own) = previous.clone().filter(|claim| claim.incarnation == self.incarnation) {
            return Ok((own, None));
        }
        let epoch = previous.as_ref().map_or(0, |claim| claim.epoch) + 1;
        let claim = Claim { epoch, incarnation: self.incarnation, address: self.address };
        let value = serde_json::json!(claim);
        self.client.update(KIND, &self.name, version, &value).await?;
        Ok((claim, previous))
    }

    /// Asks the process before this one to step down. One at this process's own address is dead,
    /// or this process could not listen there; so is one whose address refuses connections. One
    /// that doesn't answer is stopped or cut off: it reads its authority again before its next
    /// order.
    async fn relieve(&self, previous: &Claim) {
        if previous.address == self.address {
            return;
        }
        let asking = async {
            let opened = connection::connect(previous.address, self.security.as_ref()).await;
            if let Ok(connection) = opened {
                ask_to_leave(connection, self.successor()).await;
            }
        };
        let _ = timeout(STEP_DOWN, asking).await;
    }

    fn successor(&self) -> Sender {
        let name = chestnutrack_core::server::successor_name(&self.name);
        Sender { name, incarnation: self.incarnation }
    }

    /// Reads whether this process is still in charge, however long that takes.
    pub async fn recheck(self, epoch: u64) -> Authority {
        loop {
            match self.client.read(KIND, &self.name).await {
                Ok(object) => {
                    let claim = object.value.and_then(parse);
                    let own = claim.is_some_and(|claim| {
                        claim.incarnation == self.incarnation && claim.epoch == epoch
                    });
                    return if own { Authority::Held(epoch) } else { Authority::Lost };
                }
                Err(Error::Missing) => return Authority::Lost,
                Err(error) => {
                    tracing::debug!(%error, "authority not read yet");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }
}

async fn ask_to_leave(mut connection: Connection, sender: Sender) {
    let hello = Frame::Hello { version: VERSION, sender, configuration: 0 };
    if connection.sender.send(&hello).is_err() {
        return;
    }
    while let Ok(frame) = connection.receiver.receive().await {
        if frame == Frame::Leaving {
            return;
        }
    }
}

fn parse(value: serde_json::Value) -> Option<Claim> {
    serde_json::from_value(value).ok()
}
