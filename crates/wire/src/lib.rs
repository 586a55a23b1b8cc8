//! Frames between the system's own processes, and the connections that carry them.
//!
//! Frames are CBOR in binary WebSocket messages. Every frame of a request names the request and
//! the attempt, so that late and crossed frames are told apart.

pub mod codec;
pub mod connection;
pub mod frame;
pub mod id;

pub use codec::{decode, encode};
pub use connection::Connection;
pub use frame::Frame;
pub use id::{Attempt, Request};
