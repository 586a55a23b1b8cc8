//! Settings of a server's table of holds. A hold is the resources that one attempt of a request
//! occupies on the server: a place in the queue, a slot, engine memory, a booking on the link.

use std::time::Duration;

/// Time without a frame after which a connection with live work is closed.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a hold whose connection was closed may be resumed on a new connection.
pub const RESUME_GRACE: Duration = Duration::from_millis(700);
/// Time after the engine's first list of requests in which entry hosts may claim running answers.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a leaving server still honours existing reservations.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// Gap between two events after which this process is considered to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time within which engine memory must be freed after its caller or entry host is gone.
pub const FREED_WITHIN: Duration = Duration::from_secs(2);

/// Settings of a server's table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time without a frame after which a connection with live work is closed.
    pub heartbeat_timeout: Duration,
    /// Time without a frame after which a connection without live work is closed.
    pub idle_heartbeat_timeout: Duration,
    /// Time in which a hold whose connection was closed may be resumed on a new connection.
    pub resume_grace: Duration,
    /// Time after the engine's first list of requests in which entry hosts may claim running
    /// answers.
    pub claim_timeout: Duration,
    /// Time for which a leaving server still honours existing reservations.
    pub leaving_grace: Duration,
    /// Gap between two events after which this process is considered to have been paused.
    pub pause_threshold: Duration,
    /// Lease of a reservation after the time at which its KV cache transfer is booked.
    pub reservation_lease: Duration,
    /// Maximum time that a KV cache which is ready waits for its import.
    pub arrived_timeout: Duration,
    /// Time for which a complete answer is kept so that it can be resumed.
    pub ended_retention: Duration,
    /// Delay before an unconfirmed cancel order is repeated.
    pub cancel_retry: Duration,
    /// Interval at which the engine is asked what it holds.
    pub audit_period: Duration,
    /// Maximum number of waiting requests per organisation.
    pub waiting_per_organisation: usize,
    /// Maximum total size of waiting prompts and bodies, in bytes.
    pub waiting_bytes: usize,
    /// Maximum number of interactive grants in a row while a request that may wait is waiting.
    pub interactive_run_max: u32,
    /// Size of a KV cache that is assumed until one is measured, in bytes per token.
    pub kv_bytes_per_token: u64,
    /// Time between tokens that is assumed until it is measured.
    pub token_time: Duration,
    /// Prefill rate that is assumed until it is measured, in tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Number of prefills that are sent to the engine at once regardless of their size. Others wait
    /// in the table, where scheduling is fair.
    pub prefill_orders: u32,
    /// Prompt tokens outstanding at the engine below which more than `prefill_orders` prefills are
    /// sent.
    pub prefill_order_tokens: u64,
    /// Maximum size of the part of a plain answer that is kept for a resume, in bytes.
    pub body_retention_bytes: usize,
    /// Maximum number of ended attempts that are remembered.
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
