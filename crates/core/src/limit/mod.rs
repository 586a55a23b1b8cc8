//! Limits over the fleet: shares, borrowing, buckets.
