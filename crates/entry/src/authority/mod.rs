//! Interface of the request path to the fleet: the current configuration, tokens and claims.
//!
//! [`Authority`] is a struct of closures, so that tests can replace the fleet with a fake. A
//! [`Snapshot`] is the configuration in force. A claim records in the platform's store that a
//! request is being run, and later how it ended.

use chestnutrack_core::time::Instant;
use chestnutrack_fleet::{Fleet, Snapshot, claim, limit};
use chestnutrack_process::clock;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Boxed future.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Debits tokens from an organisation's allowance, waiting for them at most as long as given.
pub type Debit =
    Box<dyn Fn(Arc<str>, u64, Duration) -> BoxFuture<Result<(), limit::Refusal>> + Send + Sync>;
/// Returns unused tokens to an organisation's allowance.
pub type Refund = Box<dyn Fn(&Arc<str>, u64) + Send + Sync>;
/// Claims a request that must run at most once.
pub type Claim = Box<
    dyn Fn(claim::ClaimRequest) -> BoxFuture<Result<claim::Outcome, claim::Error>> + Send + Sync,
>;
/// Records how a claimed request ended.
pub type Settle =
    Box<dyn Fn(claim::HeldClaim, claim::End) -> BoxFuture<Result<(), claim::Error>> + Send + Sync>;

/// Operations of the fleet that the request path uses.
pub struct Authority {
    /// Current configuration, with its changes.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Debits tokens.
    pub debit: Debit,
    /// Returns unused tokens.
    pub refund: Refund,
    /// Claims a request.
    pub claim: Claim,
    /// Records how a claimed request ended.
    pub settle: Settle,
}

impl Authority {
    /// Creates an authority that is backed by a fleet.
    pub fn from_fleet(fleet: &Fleet) -> Authority {
        let (debit, refund) = (fleet.clone(), fleet.clone());
        let (claim, settle) = (fleet.clone(), fleet.clone());
        Authority {
            snapshots: fleet.watch(),
            debit: Box::new(move |organisation, tokens, max_wait| {
                let fleet = debit.clone();
                Box::pin(async move { fleet.debit(&organisation, tokens, max_wait).await })
            }),
            refund: Box::new(move |organisation, tokens| refund.refund(organisation, tokens)),
            claim: Box::new(move |request| {
                let fleet = claim.clone();
                Box::pin(async move { fleet.claim(request).await })
            }),
            settle: Box::new(move |held, end| {
                let fleet = settle.clone();
                Box::pin(async move { fleet.settle(held, end).await })
            }),
        }
    }

    /// Returns the current configuration.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshots.borrow().clone()
    }
}

/// Returns the time left until a deadline; zero if it has passed.
pub fn time_until(deadline: Instant) -> Duration {
    deadline.since(clock::now())
}
