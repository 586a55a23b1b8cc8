//! Settings of a server's table.

use std::time::Duration;

/// Longest silence of a connection that carries live work.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a hold whose connection is gone may be claimed on a new one.
pub const RESUME_GRACE: Duration = Duration::from_millis(700);
/// Time in which running answers may be claimed after this process started.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a leaving server still takes up reservations made before.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// Gap between two events after which this process counts as having been stopped.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time within which engine memory is freed after its caller or entry host is gone.
pub const FREED_WITHIN: Duration = Duration::from_secs(2);

/// Settings of a server's table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest silence of a connection that carries live work.
    pub heartbeat_timeout: Duration,
    /// Longest silence of a connection that carries none.
    pub idle_heartbeat_timeout: Duration,
    /// Time in which a hold whose connection is gone may be claimed on a new one.
    pub resume_grace: Duration,
    /// Time in which running answers may be claimed after this process started.
    pub claim_timeout: Duration,
    /// Time for which a leaving server still takes up reservations made before.
    pub leaving_grace: Duration,
    /// Gap between two events after which this process counts as having been stopped.
    pub pause_threshold: Duration,
    /// Lease of a reservation beyond the time at which its KV cache is expected.
    pub reservation_lease: Duration,
    /// Longest time that a KV cache which has arrived waits for its import.
    pub arrived_timeout: Duration,
    /// Time for which an answer that has ended is kept for a resume.
    pub ended_retention: Duration,
    /// Time between two orders to cancel the same request.
    pub cancel_retry: Duration,
    /// Time between two looks at what the engine holds.
    pub audit_period: Duration,
    /// Requests that one organisation may have waiting.
    pub waiting_per_organisation: usize,
    /// Prompts and bodies that wait, in bytes.
    pub waiting_bytes: usize,
    /// Interactive grants in a row while a request that may wait waits.
    pub interactive_run_max: u32,
    /// Size of a KV cache assumed before any was seen, in bytes a token.
    pub kv_bytes_per_token: u64,
    /// Time between tokens assumed before any was measured.
    pub token_time: Duration,
    /// Prefill rate assumed before any was measured, in tokens a second.
    pub prefill_tokens_per_s: u64,
    /// Prefills ordered from the engine at once, whatever their size; more wait here, where
    /// their order is fair.
    pub prefill_orders: u32,
    /// Prompt tokens up to which more prefills are ordered at once.
    pub prefill_order_tokens: u64,
    /// Bytes of a plain answer kept for a resume.
    pub body_retention_bytes: usize,
    /// Attempts that have ended and are remembered.
    pub ended_attempts_max: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat_timeout: HEARTBEAT_TIMEOUT,
            idle_heartbeat_timeout: Duration::from_secs(10),
            resume_grace: RESUME_GRACE,
            claim_timeout: CLAIM_TIMEOUT,
            leaving_grace: LEAVING_GRACE,
            pause_threshold: PAUSE_THRESHOLD,
            reservation_lease: Duration::from_secs(5),
            arrived_timeout: Duration::from_secs(1),
            ended_retention: Duration::from_secs(5),
            cancel_retry: Duration::from_millis(200),
            audit_period: Duration::from_secs(1),
            waiting_per_organisation: 256,
            waiting_bytes: 32 << 20,
            interactive_run_max: 7,
            kv_bytes_per_token: 64 << 10,
            token_time: Duration::from_millis(30),
            prefill_tokens_per_s: 10_000,
            prefill_orders: 2,
            prefill_order_tokens: 4_096,
            body_retention_bytes: 1 << 20,
            ended_attempts_max: 1 << 16,
        }
    }
}
