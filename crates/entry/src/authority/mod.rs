//! What the request path asks of the fleet: the configuration in force, tokens and claims.
//!
//! A struct of closures, so that tests put fixtures in the fleet's place.

use chestnutrack_core::time::Instant;
use chestnutrack_fleet::{Fleet, Snapshot, claim, limit};
use chestnutrack_process::clock;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A future on the heap.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Debits an organisation's tokens, waiting for them no longer than given.
pub type Debit =
    Box<dyn Fn(Arc<str>, u64, Duration) -> BoxFuture<Result<(), limit::Refusal>> + Send + Sync>;
/// Hands tokens back.
pub type Refund = Box<dyn Fn(&Arc<str>, u64) + Send + Sync>;
/// Claims an at-most-once request.
pub type Claim =
    Box<dyn Fn(claim::Ask) -> BoxFuture<Result<claim::Outcome, claim::Error>> + Send + Sync>;
/// Records how a claimed request ended.
pub type Settle =
    Box<dyn Fn(claim::Held, claim::End) -> BoxFuture<Result<(), claim::Error>> + Send + Sync>;

/// What the request path asks of the fleet.
pub struct Authority {
    /// The configuration in force.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Debits tokens.
    pub debit: Debit,
    /// Hands tokens back.
    pub refund: Refund,
    /// Claims a request.
    pub claim: Claim,
    /// Settles a claim.
    pub settle: Settle,
}

impl Authority {
    /// The fleet's own.
    pub fn from_fleet(fleet: &Fleet) -> Authority {
        let (debit, refund) = (fleet.clone(), fleet.clone());
        let (claim, settle) = (fleet.clone(), fleet.clone());
        Authority {
            snapshots: fleet.watch(),
            debit: Box::new(move |organisation, tokens, within| {
                let fleet = debit.clone();
                Box::pin(async move { fleet.debit(&organisation, tokens, within).await })
            }),
            refund: Box::new(move |organisation, tokens| refund.refund(organisation, tokens)),
            claim: Box::new(move |ask| {
                let fleet = claim.clone();
                Box::pin(async move { fleet.claim(ask).await })
            }),
            settle: Box::new(move |held, end| {
                let fleet = settle.clone();
                Box::pin(async move { fleet.settle(held, end).await })
            }),
        }
    }

    /// The configuration in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshots.borrow().clone()
    }
}

/// Time left until a deadline.
pub fn time_until(deadline: Instant) -> Duration {
    deadline.since(clock::now())
}
