//! The program beside a backend server: its slots, KV, transfers and orders.
