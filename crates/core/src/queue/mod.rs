//! Waiting: fair between organisations, interactive before may-wait, early refusal.
